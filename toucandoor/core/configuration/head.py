"""Head record of the configuration: its newest version, that version's parts and the entry VMs.

The head is one value in the platform's store, replaced by compare-and-swap. The content is stored
in parts, which are named by their digest and never changed, so that a change writes only the parts
that differ.
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
from toucandoor.exceptions import StoreConflictError, StoredRecordError
from toucandoor.ids import ConfigVersion, EntryId, OperationId

if TYPE_CHECKING:
    from collections.abc import Mapping

_STEP = "configuration.propose"


class HeadRecord(msgspec.Struct, frozen=True):
    """Head record of one version.

    Attributes:
        version: Grows by one with each write of the record.
        content_version: Grows by one with each change by an operator; the base version of the
            operator's next change.
        parts: Name of each part in the store, by section.
        slots: Entry VMs that take part.
        previous_slots: Slots of the last version that was in force everywhere before the slots
            changed; an entry VM may still count majorities by them.
        recent: Pairs of change id and content version of the last changes, oldest first.
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
        """Return the record as JSON, as it is stored."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def from_json(cls, text: str) -> HeadRecord:
        """Return the record from its stored JSON.

        Raises:
            StoredRecordError: The text is not such a record.
        """
        try:
            return msgspec.json.decode(text, type=cls)
        except msgspec.MsgspecError as err:
            raise StoredRecordError(str(err), step="configuration.decode_head") from err

    def version_of(self, change_id: OperationId) -> ConfigVersion | None:
        """Return the content version that a recent change made, None if the change is unknown."""
        return dict(self.recent).get(change_id)

    def lease_slots(self) -> tuple[EntrySlot, ...]:
        """Return the slots that count for majorities; none before the first content is written."""
        return self.slots if self.content_version else ()

    def longest_times(self) -> LeaseTimes:
        """Return the longest durations that any version has set."""
        return LeaseTimes(self.entry_lease_s, self.grace_s)

    def with_content(
        self, base_version: int, configuration: Configuration, change_id: OperationId
    ) -> HeadRecord:
        """Return the next version, with an operator's configuration as its content.

        Raises:
            StoreConflictError: The content has changed since the base version.
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
                for name, text in split_parts(configuration).items()
            },
            recent=recent,
            entry_lease_s=max(self.entry_lease_s, policy.entry_lease_s),
            grace_s=max(self.grace_s, policy.cut_off_grace_s),
        )

    def with_slot(self, slot: EntrySlot, *, in_force_everywhere: bool) -> HeadRecord | None:
        """Return the next version with a slot added or replaced, None if it must not be written.

        An entry counts majorities by the slots of its version. At most two sets of slots may be in
        use at once, so the slots change only while this version is in force everywhere. A new
        address alone changes no majority and is written at once.

        Args:
            in_force_everywhere: Whether this version is in force everywhere.
        """
        if any(each.entry == slot.entry and _same_data_centre(each, slot) for each in self.slots):
            previous = tuple(
                slot if each.entry == slot.entry and _same_data_centre(each, slot) else each
                for each in self.previous_slots
            )
            return self._with_slots(self._slots_without(slot.entry, slot), previous)
        if self.content_version and not in_force_everywhere:
            return None
        return self._with_slots(self._slots_without(slot.entry, slot), self.lease_slots())

    def without_slot(self, entry: EntryId, *, in_force_everywhere: bool) -> HeadRecord | None:
        """Return the next version without a slot.

        None if there is no such slot, or if the version must not be written yet: see `with_slot`.
        """
        remaining = self._slots_without(entry)
        if len(remaining) == len(self.slots) or (self.content_version and not in_force_everywhere):
            return None
        return self._with_slots(remaining, self.lease_slots())

    def without_previous_slots(self, slots: tuple[EntrySlot, ...]) -> HeadRecord | None:
        """Return the next version without previous slots, None where that changes nothing.

        Args:
            slots: Slots of a version that is in force everywhere.
        """
        if slots != self.slots or not self.previous_slots:
            return None
        return self._with_slots(self.slots, ())

    def _part_name(self, name: str, text: str, version: ConfigVersion) -> str:
        """Return the name of a part in the store; an unchanged part keeps its name.

        A new name contains the version, so it is never used again by another version. A part that
        the newest head does not name can therefore be deleted during concurrent changes.
        """
        present = self.parts.get(name, "")
        return (
            present if present.startswith(part_digest(text)) else f"{part_digest(text)}.{version}"
        )

    def _slots_without(self, entry: EntryId, *added: EntrySlot) -> tuple[EntrySlot, ...]:
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


def _same_data_centre(one: EntrySlot, other: EntrySlot) -> bool:
    return one.data_centre == other.data_centre


def part_digest(text: str) -> str:
    """Return the digest of a part's text, with which the part's name in the store begins."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def split_parts(configuration: Configuration) -> dict[str, str]:
    """Return the JSON texts of a configuration's parts, by section.

    There is one part per team, up to `VM_BUCKETS` parts for the VMs of each data centre, and one
    part for each other section.
    """
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


def join_parts(parts: Mapping[str, str]) -> Configuration:
    """Return the configuration from its parts; the inverse of `split_parts`.

    Raises:
        StoredRecordError: The parts are not those of a configuration.
    """
    try:
        return _join_parts(parts)
    except (ValueError, TypeError) as err:
        raise StoredRecordError(str(err), step="configuration.join_parts") from err


def _join_parts(parts: Mapping[str, str]) -> Configuration:
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
