"""Controller task that carries ceilings' messages and coordinates its data centre's permits."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Final

import msgspec

from toucandoor.adapters.ceiling_peers import CeilingPeers
from toucandoor.adapters.entry_ceilings import to_wire_envelope
from toucandoor.adapters.threads import async_call
from toucandoor.core.ceilings.const import (
    CONTROLLERS_PREFIX,
    COORDINATOR_ID,
    LEDGER_KEY,
    STORE_PREFIX,
)
from toucandoor.core.ceilings.coordinator import PermitCoordinator
from toucandoor.core.ceilings.coordinator_state import CoordinatorState
from toucandoor.core.ceilings.ledger import decode_ledger, encode_ledger
from toucandoor.core.ceilings.models import Ledger, WriteLedger
from toucandoor.exceptions import StoreError
from toucandoor.ids import ConfigVersion, EntryId
from toucandoor.messages import PROTOCOL_VERSION, Hello

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from toucandoor.adapters.settings import ControllerSettings
    from toucandoor.adapters.store_client import Store, StoredValue, WatchResult
    from toucandoor.ceiling_messages import CeilingEnvelope
    from toucandoor.clock import Clock
    from toucandoor.core.ceilings.models import Envelope
    from toucandoor.core.configuration.models import Configuration
    from toucandoor.core.leases.serving import ServingLease
    from toucandoor.ids import IncarnationId

_LOGGER = logging.getLogger(__name__)
_PREFIX = "ceilings:"
_TICK_PERIOD_S: Final = 0.2
_RETRY_S: Final = 0.5
_DEPOSED_PAUSE_S: Final = 5.0


class CeilingTask:
    """Follows the ledger, and coordinates while this is the first connected controller.

    Which controller coordinates decides only who does the work: any number may try at once.

    Args:
        lease: Lease of this VM.
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
        self._rest_until_s = 0.0
        self._ledger: Ledger | None = None
        self._revision = 0
        self._configured: tuple[ConfigVersion, Configuration] | None = None
        self._writing: set[asyncio.Task[None]] = set()
        self._own_key = f"{CONTROLLERS_PREFIX}{settings.data_centre}/{settings.entry_id}"

    def configure(self, version: ConfigVersion, configuration: Configuration) -> None:
        """Take the ceilings of an accepted configuration."""
        self._configured = (version, configuration)
        self._configure_coordinator()

    async def async_run(self) -> None:
        """Follow the store and tick for ever."""
        following = asyncio.create_task(self._async_follow())
        try:
            while True:
                await self._async_tick()
                await asyncio.sleep(_TICK_PERIOD_S)
        finally:
            following.cancel()

    async def async_stop(self) -> None:
        """Wait until the next coordinator can count without the members that have left."""
        until_s = self._clock.monotonic_s() + self._settings.stop_grace_s
        while self._coordinator is not None and self._coordinator.has_pending_ledger_update:
            if self._clock.monotonic_s() >= until_s:
                _LOGGER.warning("%s stopped before the ledger was up to date", _PREFIX)
                return
            await asyncio.sleep(_TICK_PERIOD_S)

    async def async_take(self, mail: CeilingEnvelope, *, from_peer: bool) -> None:
        """Handle or pass on a message of the entry of this VM or of a peer."""
        if mail.to.entry == self._settings.entry_id:
            await self._send_to_entry(mail)
            return
        if mail.to.entry != COORDINATOR_ID:
            if not from_peer:
                await self._peers.async_send(mail.to.entry, mail)
            return
        if self._coordinator is not None:
            now_s = self._clock.monotonic_s()
            await self._async_send(self._coordinator.on_message(mail.message, now_s))
        elif not from_peer:
            await self._peers.async_send(self._first(), mail)

    def status(self) -> dict[str, object]:
        """Return what operators see of the ceilings, as JSON types."""
        ledger = self._ledger or Ledger()
        line = ledger.data_centres.get(self._settings.data_centre)
        return {
            "coordinator": self._first(),
            "ledger_revision": self._revision,
            "ceilings": dict(ledger.ceilings),
            "parts": {dc: dict(each.parts) for dc, each in ledger.data_centres.items()},
            "members": [f"{m.entry}#{m.incarnation}" for m in line.members] if line else [],
            "counting": self._coordinator is not None and self._coordinator.is_counting,
        }

    def _first(self) -> EntryId:
        return min({self._settings.entry_id} | self._peers.connected())

    async def _async_tick(self) -> None:
        now_s = self._clock.monotonic_s()
        self._elect(now_s)
        if self._coordinator is None:
            return
        output = self._coordinator.tick(now_s)
        if output.write is not None:
            # An earlier one may still wait for its lost answer; the watch has settled it.
            task = asyncio.create_task(self._async_write(output.write))
            self._writing.add(task)
            task.add_done_callback(self._writing.discard)
        await self._async_send(output.envelopes)

    def _elect(self, now_s: float) -> None:
        coordinator = self._coordinator
        if coordinator is not None and coordinator.state is CoordinatorState.SUPERSEDED:
            self._coordinator = None
            self._rest_until_s = now_s + _DEPOSED_PAUSE_S * random.uniform(1, 2)
        if self._first() != self._settings.entry_id:
            self._coordinator = None
            return
        if self._coordinator is None and self._ledger is not None and now_s >= self._rest_until_s:
            self._start_coordinator(now_s)

    def _start_coordinator(self, now_s: float) -> None:
        self._starts += 1
        start_id = f"{self._settings.entry_id}.{self._incarnation}.{self._starts}"
        data_centre = self._settings.data_centre
        self._coordinator = PermitCoordinator(data_centre, start_id, self._lease)
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
            mail = to_wire_envelope(envelope)
            if mail.to.entry == self._settings.entry_id:
                await self._send_to_entry(mail)
            else:
                await self._peers.async_send(mail.to.entry, mail)

    async def _async_write(self, write: WriteLedger) -> None:
        """Write, then read until the outcome is known."""
        try:
            text = encode_ledger(write.ledger)
            revision = await async_call(
                lambda: self._store.put(LEDGER_KEY, text, expected_revision=write.base_revision)
            )
            self._take_ledger(write.ledger, revision)
        except StoreError as err:
            _LOGGER.info("%s %s", _PREFIX, err)
            await self._async_read_back()

    async def _async_read_back(self) -> None:
        while True:
            try:
                self._take_stored(await async_call(lambda: self._store.get(LEDGER_KEY)))
                return
            except StoreError as err:
                _LOGGER.info("%s %s", _PREFIX, err)
                await asyncio.sleep(_RETRY_S)

    def _take_stored(self, stored: StoredValue | None) -> None:
        if stored is None:
            self._take_ledger(Ledger(), 0)
            return
        try:
            self._take_ledger(decode_ledger(stored.value), stored.revision)
        except msgspec.ValidationError as err:
            _LOGGER.error("%s the ledger is not readable: %s", _PREFIX, err)

    def _take_ledger(self, ledger: Ledger, revision: int) -> None:
        if revision < self._revision:
            return
        self._ledger = ledger
        self._revision = revision
        if self._coordinator is not None:
            self._coordinator.on_ledger(ledger, revision, self._clock.monotonic_s())

    async def _async_follow(self) -> None:
        revision = 0
        while True:
            try:
                if revision == 0:
                    await self._async_read_all()
                result = await self._async_watch(revision)
                revision = result.revision
                for stored in result.changed:
                    if stored.key == LEDGER_KEY:
                        self._take_stored(stored)
                if any(each.key != LEDGER_KEY for each in result.changed):
                    await self._async_read_peers()
            except StoreError as err:
                _LOGGER.info("%s %s", _PREFIX, err)
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
        self._peers.set_addresses(addresses)
