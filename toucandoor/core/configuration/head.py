"""The head record: which version is the newest, of which parts it consists, and whom it concerns.

The head is one value in the platform's store, swapped by compare-and-swap. The content lies in
parts named by their digest, which are never changed, so that a change carries only what differs.
"""

from __future__ import annotations

import hashlib
import json
import zlib
from typing import TYPE_CHECKING, Any

import msgspec

from toucandoor.core.configuration.const import RECENT_CHANGES_MAX, VM_BUCKETS
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.models import EntrySlot, LeaseTimes
from toucandoor.exceptions import StoreConflictError
from toucandoor.ids import ConfigVersion, EntryId, OperationId

if TYPE_CHECKING:
    from collections.abc import Mapping

_STEP = "configuration.propose"


class HeadRecord(msgspec.Struct, frozen=True):
    """One version of the head record.

    Attributes:
        version: Grows by one with every swap.
        content_version: Counts operators' changes alone; what they base the next change on.
        parts: Name in the store of each part by its section.
        slots: Entry VMs that take part.
        previous_slots: Slots of the last version that was in force everywhere before the slots
            changed; a VM may still reckon its majorities by them.
        recent: Content version of each of the last changes by its id, oldest first.
        entry_lease_s: Longest entry lease that any version has set.
        grace_s: Longest grace that any version has set.
    """

    version: ConfigVersion = ConfigVersion(0)
    content_version: ConfigVersion = ConfigVersion(0)
    parts: dict[str, str] = {}
    slots: tuple[EntrySlot, ...] = ()
    previous_slots: tuple[EntrySlot, ...] = ()
    recent: tuple[tuple[OperationId, ConfigVersion], ...] = ()
    entry_lease_s: float = 0.0
    grace_s: float = 0.0

    def to_json(self) -> str:
        """Return the record as stored."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def from_json(cls, text: str) -> HeadRecord:
        """Return a stored record."""
        return msgspec.json.decode(text, type=cls)

    def version_of(self, change_id: OperationId) -> ConfigVersion | None:
        """Return the content version a recent change made, None when it is not known."""
        return dict(self.recent).get(change_id)

    def lease_slots(self) -> tuple[EntrySlot, ...]:
        """Return the slots that count for majorities; none before operators gave any content."""
        return self.slots if self.content_version else ()

    def longest_times(self) -> LeaseTimes:
        """Return the longest durations that any version has set."""
        return LeaseTimes(self.entry_lease_s, self.grace_s)

    def with_content(
        self, base_version: int, configuration: Configuration, change_id: OperationId
    ) -> HeadRecord:
        """Return the next version with an operator's content.

        Raises:
            StoreConflictError: Another operator's change came since the base version.
        """
        if base_version != self.content_version:
            raise StoreConflictError(
                f"version {self.content_version} is the newest, the change is based on"
                f" {base_version}",
                step=_STEP,
                peer="config/head",
            )
        version = ConfigVersion(self.version + 1)
        policy = configuration.policy
        content_version = ConfigVersion(self.content_version + 1)
        recent = (*self.recent, (change_id, content_version))[-RECENT_CHANGES_MAX:]
        return msgspec.structs.replace(
            self,
            version=version,
            content_version=content_version,
            parts={
                name: self._part_name(name, text, version)
                for name, text in split(configuration).items()
            },
            recent=recent,
            entry_lease_s=max(self.entry_lease_s, policy.entry_lease_s),
            grace_s=max(self.grace_s, policy.cut_off_grace_s),
        )

    def with_slot(self, slot: EntrySlot, *, settled: bool) -> HeadRecord | None:
        """Return the next version with a slot added or changed, None while it may not be written.

        An entry reckons its majorities by the slots of its version, so that at most two sets of
        slots may be in use at once. A new address alone changes no majority and never waits.

        Args:
            settled: Whether this very version is in force everywhere.
        """
        if any(each.entry == slot.entry and _alike(each, slot) for each in self.slots):
            previous = tuple(
                slot if each.entry == slot.entry and _alike(each, slot) else each
                for each in self.previous_slots
            )
            return self._with_slots(self._others(slot.entry, slot), previous)
        if self.content_version and not settled:
            return None
        return self._with_slots(self._others(slot.entry, slot), self.lease_slots())

    def without_slot(self, entry: EntryId, *, settled: bool) -> HeadRecord | None:
        """Return the next version without a slot, None while it may not be written."""
        left = self._others(entry)
        if len(left) == len(self.slots) or (self.content_version and not settled):
            return None
        return self._with_slots(left, self.lease_slots())

    def with_slots_settled(self, slots: tuple[EntrySlot, ...]) -> HeadRecord | None:
        """Return the next version without the slots before, None where that changes nothing.

        Args:
            slots: Slots of a version that is in force everywhere.
        """
        if slots != self.slots or not self.previous_slots:
            return None
        return self._with_slots(self.slots, ())

    def _part_name(self, name: str, text: str, version: ConfigVersion) -> str:
        """Keep an unchanged part's name; a new name is never used for any other version.

        So a part that the newest head does not name can be deleted while operators race.
        """
        present = self.parts.get(name, "")
        return present if present.startswith(digest(text)) else f"{digest(text)}.{version}"

    def _others(self, entry: EntryId, *added: EntrySlot) -> tuple[EntrySlot, ...]:
        return tuple(slot for slot in self.slots if slot.entry != entry) + added

    def _with_slots(
        self, slots: tuple[EntrySlot, ...], previous: tuple[EntrySlot, ...]
    ) -> HeadRecord:
        return msgspec.structs.replace(
            self,
            version=ConfigVersion(self.version + 1),
            slots=tuple(sorted(slots, key=lambda slot: slot.entry)),
            previous_slots=previous,
        )


def _alike(one: EntrySlot, other: EntrySlot) -> bool:
    return one.data_centre == other.data_centre


def digest(text: str) -> str:
    """Return what a part's name in the store begins with."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def split(configuration: Configuration) -> dict[str, str]:
    """Return a configuration's parts by name: one a team, some a data centre's VMs, the rest."""
    whole = configuration.model_dump(mode="json")
    parts: dict[str, Any] = {}
    for team, value in whole.pop("teams").items():
        parts[f"teams/{team}"] = value
    for vm, value in whole.pop("vms").items():
        bucket = zlib.crc32(vm.encode()) % VM_BUCKETS
        parts.setdefault(f"vms/{value['data_centre']}/{bucket}", {})[vm] = value
    for section, value in whole.items():
        parts[section] = value
    return {name: json.dumps(value, sort_keys=True) for name, value in parts.items()}


def join(parts: Mapping[str, str]) -> Configuration:
    """Return the configuration that consists of these parts."""
    whole: dict[str, Any] = {"teams": {}, "vms": {}}
    for name, text in parts.items():
        section, _, item = name.partition("/")
        value = json.loads(text)
        if section == "teams":
            whole["teams"][item] = value
        elif section == "vms":
            whole["vms"].update(value)
        else:
            whole[section] = value
    return Configuration.model_validate(whole)
