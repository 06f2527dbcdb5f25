"""Controller task that routes ceiling messages and coordinates its data centre's permits."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.adapters.ceiling_peers import CeilingPeers
from toucandoor.adapters.entry_ceilings import to_wire_envelope
from toucandoor.adapters.threads import async_call
from toucandoor.ceiling_messages import CeilingEnvelope
from toucandoor.core.ceilings.const import (
    CONTROLLERS_PREFIX,
    COORDINATOR_ID,
    LEDGER_KEY,
    PEERS_ID,
    STORE_PREFIX,
)
from toucandoor.core.ceilings.coordinator import PermitCoordinator
from toucandoor.core.ceilings.coordinator_state import CoordinatorState
from toucandoor.core.ceilings.ledger import decode_ledger, encode_ledger
from toucandoor.core.ceilings.models import Ledger, Member, WriteLedger
from toucandoor.exceptions import StoreError
from toucandoor.ids import ConfigVersion, EntryId, IncarnationId
from toucandoor.messages import PROTOCOL_VERSION, Hello

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from toucandoor.adapters.settings import ControllerSettings
    from toucandoor.adapters.store_client import Store, StoredValue, WatchResult
    from toucandoor.clock import Clock
    from toucandoor.core.ceilings.models import Envelope
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.leases.models import EntrySlot
    from toucandoor.core.leases.serving import ServingLease

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"
_TICK_PERIOD_S: Final = 0.2
_RETRY_S: Final = 0.5
_SUPERSEDED_PAUSE_S: Final = 5.0


class CeilingTask:
    """Watches the ledger in the store and runs the permit coordinator where that is due.

    The connected controller of the data centre with the lowest entry id coordinates. The choice
    only avoids needless work: several controllers may run a coordinator at the same time.

    Args:
        lease: Serving lease of this VM.
        send_to_entry: Sends a message to the entry process of this VM.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        incarnation: IncarnationId,
        store: Store,
        lease: ServingLease,
        clock: Clock,
        send_to_entry: Callable[[CeilingEnvelope], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._store = store
        self._lease = lease
        self._clock = clock
        self._send_to_entry = send_to_entry
        hello = Hello(PROTOCOL_VERSION, settings.entry_id, incarnation, settings.data_centre)
        self._peers = CeilingPeers(settings.peer_secret.get_secret_value(), hello)
        self._coordinator: PermitCoordinator | None = None
        self._starts = 0
        self._start_not_before_s = 0.0
        self._ledger: Ledger | None = None
        self._revision = 0
        self._peers_read = False
        self._configured: tuple[ConfigVersion, Configuration] | None = None
        self._write_tasks: set[asyncio.Task[None]] = set()
        self._own_key = f"{CONTROLLERS_PREFIX}{settings.data_centre}/{settings.entry_id}"

    def configure(self, version: ConfigVersion, configuration: Configuration) -> None:
        """Apply the teams' ceilings of an accepted configuration."""
        self._configured = (version, configuration)
        self._configure_coordinator()

    def set_slots(self, slots: Iterable[EntrySlot]) -> None:
        """Set the slots, which name the peers until the store's list of controllers was read.

        A controller that starts while the store is away has them from a peer.
        """
        own = self._settings
        addresses = {
            slot.entry: slot.address
            for slot in slots
            if slot.data_centre == own.data_centre and slot.entry != own.entry_id and slot.address
        }
        if not self._peers_read:
            self._peers.set_addresses(addresses)

    async def async_run(self) -> None:
        """Watch the store and run the coordinator's ticks until cancelled."""
        watching = asyncio.create_task(self._async_follow_store())
        try:
            while True:
                await self._async_tick()
                await asyncio.sleep(_TICK_PERIOD_S)
        finally:
            watching.cancel()

    async def async_stop(self) -> None:
        """Wait until the ledger in the store no longer lists members that have ended.

        The next coordinator would have to wait for their reports. Gives up after the settings'
        `stop_grace_s`.
        """
        until_s = self._clock.monotonic_s() + self._settings.stop_grace_s
        while self._coordinator is not None and self._coordinator.has_pending_ledger_update:
            if self._clock.monotonic_s() >= until_s:
                _LOGGER.warning("%s stopped before the last ledger update was written", _PREFIX)
                return
            await asyncio.sleep(_TICK_PERIOD_S)

    async def async_deliver(self, envelope: CeilingEnvelope, *, from_peer: bool) -> None:
        """Handle a message from this VM's entry or from a peer, or forward it to its receiver."""
        if envelope.to.entry == self._settings.entry_id:
            await self._send_to_entry(envelope)
            return
        if envelope.to.entry == PEERS_ID:
            for peer in () if from_peer else self._peers.connected():
                to = Member(peer, IncarnationId(0))
                await self._peers.async_send(peer, CeilingEnvelope(to, envelope.message))
            return
        if envelope.to.entry != COORDINATOR_ID:
            if not from_peer:
                await self._peers.async_send(envelope.to.entry, envelope)
            return
        if self._coordinator is not None:
            now_s = self._clock.monotonic_s()
            await self._async_send(self._coordinator.on_message(envelope.message, now_s))
        elif not from_peer:
            await self._peers.async_send(self._coordinating_entry(), envelope)

    def status(self) -> dict[str, object]:
        """Return the state of the ceilings for operators, as JSON types."""
        ledger = self._ledger or Ledger()
        own_part = ledger.data_centres.get(self._settings.data_centre)
        return {
            "coordinator": self._coordinating_entry(),
            "ledger_revision": self._revision,
            "ceilings": dict(ledger.ceilings),
            "parts": {dc: dict(each.parts) for dc, each in ledger.data_centres.items()},
            "members": [f"{m.entry}#{m.incarnation}" for m in own_part.members] if own_part else [],
            "counting": self._coordinator is not None and self._coordinator.is_counting,
        }

    def _coordinating_entry(self) -> EntryId:
        return min({self._settings.entry_id} | self._peers.connected())

    async def _async_tick(self) -> None:
        now_s = self._clock.monotonic_s()
        self._start_or_drop_coordinator(now_s)
        if self._coordinator is None:
            return
        output = self._coordinator.tick(now_s)
        if output.write is not None:
            # An earlier write may still wait for an answer that was lost; the watch has already
            # told the coordinator whether it took effect.
            task = asyncio.create_task(self._async_write(output.write))
            self._write_tasks.add(task)
            task.add_done_callback(self._write_tasks.discard)
        await self._async_send(output.envelopes)

    def _start_or_drop_coordinator(self, now_s: float) -> None:
        coordinator = self._coordinator
        if coordinator is not None and coordinator.state is CoordinatorState.SUPERSEDED:
            self._coordinator = None
            self._start_not_before_s = now_s + _SUPERSEDED_PAUSE_S * random.uniform(1, 2)
        if self._coordinating_entry() != self._settings.entry_id:
            self._coordinator = None
            return
        if (
            self._coordinator is None
            and self._ledger is not None
            and now_s >= self._start_not_before_s
        ):
            self._start_coordinator(now_s)

    def _start_coordinator(self, now_s: float) -> None:
        self._starts += 1
        start_id = f"{self._settings.entry_id}.{self._incarnation}.{self._starts}"
        data_centre = self._settings.data_centre
        # No program reports a data centre as expired yet, so no permits are lost by keeping them.
        self._coordinator = PermitCoordinator(
            data_centre, start_id, self._lease, keeps_permits=True
        )
        self._configure_coordinator()
        if self._ledger is not None:
            self._coordinator.on_ledger(self._ledger, self._revision, now_s)

    def _configure_coordinator(self) -> None:
        if self._coordinator is None or self._configured is None:
            return
        version, configuration = self._configured
        teams = configuration.teams.items()
        ceilings = {team_id: team.ceiling_running for team_id, team in teams}
        self._coordinator.set_ceilings(version, ceilings, configuration.policy.task_lease_s)

    async def _async_send(self, envelopes: Iterable[Envelope]) -> None:
        for envelope in envelopes:
            message = to_wire_envelope(envelope)
            if message.to.entry == self._settings.entry_id:
                await self._send_to_entry(message)
            else:
                await self._peers.async_send(message.to.entry, message)

    async def _async_write(self, write: WriteLedger) -> None:
        """Write the ledger; on an error, read it until the outcome is known."""
        try:
            text = encode_ledger(write.ledger)
            revision = await async_call(
                lambda: self._store.put(LEDGER_KEY, text, expected_revision=write.base_revision)
            )
            self._on_ledger(write.ledger, revision)
        except StoreError as err:
            _LOGGER.info("%s cannot write the ledger: %s", _PREFIX, err)
            await self._async_read_back()

    async def _async_read_back(self) -> None:
        while True:
            try:
                self._on_stored_ledger(await async_call(lambda: self._store.get(LEDGER_KEY)))
                return
            except StoreError as err:
                _LOGGER.info("%s cannot read the ledger: %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    def _on_stored_ledger(self, stored: StoredValue | None) -> None:
        if stored is None:
            self._on_ledger(Ledger(), 0)
            return
        try:
            self._on_ledger(decode_ledger(stored.value), stored.revision)
        except msgspec.MsgspecError as err:
            _LOGGER.error("%s cannot decode the stored ledger: %s", _PREFIX, err)

    def _on_ledger(self, ledger: Ledger, revision: int) -> None:
        if revision < self._revision:
            return
        self._ledger = ledger
        self._revision = revision
        if self._coordinator is not None:
            self._coordinator.on_ledger(ledger, revision, self._clock.monotonic_s())

    async def _async_follow_store(self) -> None:
        revision = 0
        while True:
            try:
                if revision == 0:
                    await self._async_read_all()
                result = await self._async_watch(revision)
                revision = result.revision
                for stored in result.changed:
                    if stored.key == LEDGER_KEY:
                        self._on_stored_ledger(stored)
                if any(each.key != LEDGER_KEY for each in result.changed):
                    await self._async_read_peers()
            except StoreError as err:
                _LOGGER.info("%s cannot watch the store: %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    async def _async_watch(self, after_revision: int) -> WatchResult:
        wait_s = self._settings.watch_wait_s
        return await async_call(lambda: self._store.watch(STORE_PREFIX, after_revision, wait_s))

    async def _async_read_all(self) -> None:
        stored = await async_call(lambda: self._store.get(self._own_key))
        address = self._settings.link_address
        if stored is None or stored.value != address:
            await async_call(
                lambda: self._store.put(self._own_key, address, expected_revision=None)
            )
        await self._async_read_peers()
        await self._async_read_back()

    async def _async_read_peers(self) -> None:
        prefix = f"{CONTROLLERS_PREFIX}{self._settings.data_centre}/"
        listed = await async_call(lambda: self._store.list(prefix))
        addresses = {EntryId(each.key.removeprefix(prefix)): each.value for each in listed}
        addresses.pop(self._settings.entry_id, None)
        self._peers_read = True
        self._peers.set_addresses(addresses)
