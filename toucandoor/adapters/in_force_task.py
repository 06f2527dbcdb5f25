"""Controller task that renews this VM's leases and tracks the acceptance of new versions."""

from __future__ import annotations

import asyncio
import logging
import random
from typing import TYPE_CHECKING, Any

from toucandoor.adapters.peer_link import PeerLink
from toucandoor.core.configuration.acceptance import Acceptance, Pending
from toucandoor.core.configuration.const import DEFAULT_CUT_OFF_GRACE_S, DEFAULT_ENTRY_LEASE_S
from toucandoor.core.leases.const import (
    CONFIRMATIONS_PER_GRACE,
    DEFAULT_FRESHNESS_INTERVAL_S,
    DEFAULT_POLL_INTERVAL_S,
)
from toucandoor.core.leases.models import EntrySlot, LeaseTimes, Poll, PollAnswer
from toucandoor.core.leases.node import LeaseNode
from toucandoor.core.leases.sessions import EntrySessions
from toucandoor.core.membership.members import PeerTracker
from toucandoor.exceptions import StoreError, ToucandoorError
from toucandoor.ids import ConfigVersion, EntryId, IncarnationId
from toucandoor.messages import PROTOCOL_VERSION, Hello
from toucandoor.peer_messages import (
    ContentAnswer,
    ContentQuery,
    PeerGoodbye,
    PeerPoll,
    PeerPollAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from toucandoor.adapters.configuration_task import ConfigurationTask
    from toucandoor.adapters.settings import ControllerSettings
    from toucandoor.clock import Clock
    from toucandoor.core.configuration.head import HeadRecord

_LOGGER = logging.getLogger(__name__)
_PREFIX = "in force:"
_POLL_TIMEOUT_S = 1.0
_CONTENT_TIMEOUT_S = 3.0
_PULL_DELAY_S = 0.3
_TRACK_INTERVAL_S = 0.25
_TRACK_SLOW_INTERVAL_S = 1.0
_TRACK_SLOW_AFTER_S = 3.0


class InForceTask:
    """Renews the leases of this VM and polls its peers over links.

    Attributes:
        node: State of this VM in the lease protocol.
        sessions: Leases delegated to the entry processes of this VM.
        peers: Reachability of the other controllers.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        incarnation: IncarnationId,
        configuration: ConfigurationTask,
        clock: Clock,
    ) -> None:
        self._own_slot = EntrySlot(settings.entry_id, settings.data_centre, settings.link_address)
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        times = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
        started_s = clock.monotonic_s()
        self.node = LeaseNode(self._own_slot.entry, incarnation, times, started_s)
        self.sessions = EntrySessions(times, started_s)
        self.peers = PeerTracker()
        self._hello = Hello(PROTOCOL_VERSION, settings.entry_id, incarnation, settings.data_centre)
        self._links: dict[str, PeerLink] = {}
        self._closed_links_bytes = 0
        self._query_sequence = 0
        self._tracked: dict[ConfigVersion, Acceptance] = {}
        # Kept because a new one would wait for the grace of a lost entry VM once more.
        self._last_accepted: Acceptance | None = None
        self._pulling: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()
        self._random = random.Random(incarnation)

    def on_head_record(self, record: HeadRecord) -> None:
        """Apply the version, slots and durations of a new head record."""
        self.node.set_known(record.version)
        self.node.set_slots(record.lease_slots())
        head = self._configuration.head
        if head is not None:
            policy = head.configuration.policy
            times = LeaseTimes(policy.entry_lease_s, policy.cut_off_grace_s)
            self.node.set_times(times, record.longest_times())
            self.sessions.set_times(times, record.longest_times())
        self.update_in_force()

    def update_in_force(self) -> None:
        """Update the version below which no entry process of this VM may start keyed work."""
        now_s = self._clock.monotonic_s()
        self.node.set_in_force(self.sessions.in_force(self.node.known, now_s))

    def delegate_lease(self, incarnation: IncarnationId) -> float:
        """Return for how long from its query an entry process may start keyed work, in seconds."""
        self.update_in_force()
        now_s = self._clock.monotonic_s()
        return self.sessions.delegate(
            incarnation, self.node.in_force, self.node.keyed_until_s(), now_s
        )

    def on_poll(self, poll: Poll) -> PollAnswer:
        """Answer a peer's poll, and fetch its configuration if that is newer."""
        self.update_in_force()
        now_s = self._clock.monotonic_s()
        answer = self.node.on_poll(poll, now_s)
        self.peers.on_poll(poll.sender, poll.incarnation, now_s)
        if poll.known > self.node.known:
            self._pull_from(poll.sender)
        return answer

    def on_goodbye(self, goodbye: PeerGoodbye) -> None:
        """Record the planned stop of a peer."""
        entry, incarnation = EntryId(goodbye.sender), IncarnationId(goodbye.incarnation)
        self.node.grants.drop_ended(entry, incarnation)
        self.peers.on_goodbye(entry, incarnation)

    def content_for(self, query: ContentQuery) -> ContentAnswer:
        """Return the newest configuration without the parts that a peer already has."""
        head, parts = self._configuration.content_since(query.version)
        return ContentAnswer(query.sequence, head, parts)

    async def async_run(self) -> None:
        """Poll the peers and renew the leases until cancelled."""
        while True:
            self.update_in_force()
            try:
                await self._async_renew()
            except ToucandoorError as err:
                _LOGGER.info("%s cannot renew the leases: %s", _PREFIX, err)
            interval_s = min(DEFAULT_POLL_INTERVAL_S, self._times().entry_lease_s / 3)
            await asyncio.sleep(interval_s * self._random.uniform(0.9, 1.1))

    def track_acceptance(self, record: HeadRecord) -> Acceptance:
        """Start to track whether a version is in force everywhere; return its acceptance."""
        version = record.version
        if self._last_accepted is not None and self._last_accepted.version == version:
            return self._last_accepted
        if version not in self._tracked:
            self._tracked[version] = Acceptance(
                version, record.slots, record.longest_times(), record.previous_slots
            )
            self._spawn(self._async_track(version))
        return self._tracked[version]

    async def async_wait_accepted(self, record: HeadRecord, within_s: float) -> list[Pending]:
        """Wait until a version is in force everywhere, for at most `within_s`.

        Returns:
            The entries that are still pending; empty once the version is in force everywhere.
        """
        acceptance = self.track_acceptance(record)
        until_s = self._clock.monotonic_s() + within_s
        while True:
            now_s = self._clock.monotonic_s()
            if acceptance.accepted(now_s) or now_s >= until_s:
                return acceptance.pending(now_s)
            await asyncio.sleep(0.02)

    def pending(self) -> dict[ConfigVersion, list[Pending]]:
        """Return the pending entries of each version that is tracked here."""
        now_s = self._clock.monotonic_s()
        return {version: each.pending(now_s) for version, each in self._tracked.items()}

    def status(self) -> dict[str, Any]:
        """Return the state of leases, peers and pending versions for operators, as JSON types."""
        now_s = self._clock.monotonic_s()
        local_entries = {slot.entry for slot in self._local_slots()}
        peers = [
            self.peers.status(slot.entry, now_s, sends_polls=slot.entry in local_entries)
            for slot in self._other_slots()
        ]
        return {
            "record_version": self.node.known,
            "in_force": self.node.in_force,
            "keyed_left_s": _left_s(self.node.keyed_until_s(), now_s),
            "fresh_left_s": _left_s(self.node.fresh_until_s(), now_s),
            "peers": {peer.entry: peer.reach.value for peer in peers},
            "peer_bytes": self.peer_bytes(),
            "pending": {
                str(version): pending_to_json(pending)
                for version, pending in self.pending().items()
            },
        }

    def peer_bytes(self) -> int:
        """Return the bytes of this side's queries and their answers so far."""
        return self._closed_links_bytes + sum(
            link.bytes_transferred() for link in self._links.values()
        )

    async def async_stop(self) -> None:
        """Send a goodbye to all peers once no entry process here may start keyed work.

        Gives up after the settings' `stop_grace_s`, and then sends none.
        """
        until_s = self._clock.monotonic_s() + self._settings.stop_grace_s
        while self.sessions.may_hold_lease(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= until_s:
                return
            await asyncio.sleep(0.05)
        goodbye = PeerGoodbye(self._own_slot.entry, self.node.incarnation)
        links = [self._link(slot.address) for slot in self._other_slots()]
        await asyncio.gather(*(each.async_send(goodbye) for each in links), return_exceptions=True)

    async def _async_renew(self) -> None:
        """Read the head record from the store when that is due, and poll the peers.

        The peers in other data centres are polled only if the read failed or less than half of
        the lease is left.
        """
        now_s = self._clock.monotonic_s()
        age_s = self.node.fresh_age_s(now_s)
        interval_s = min(
            DEFAULT_FRESHNESS_INTERVAL_S, self._times().grace_s / CONFIRMATIONS_PER_GRACE
        )
        confirmed = True
        if age_s is None or age_s > interval_s * self._random.uniform(1.0, 1.5):
            confirmed = await self._async_read_store()
        lease_left_s = self.node.entry_lease_until_s() - now_s
        poll_all = not confirmed or lease_left_s < self._times().entry_lease_s / 2
        polled = self._other_slots() if poll_all else self._local_slots()
        if not self._configuration.record.slots:
            await self._async_find_peers()
        await self._async_poll_all(polled)

    async def _async_read_store(self) -> bool:
        sent_s = self._clock.monotonic_s()
        try:
            record, _ = await self._configuration.async_read()
        except StoreError:
            return False
        self.node.on_store_read(record.version, sent_s)
        return True

    async def _async_find_peers(self) -> None:
        """Fetch the configuration, which names the peers, from the addresses in the settings."""
        for address in self._settings.peer_addresses:
            if address != self._own_slot.address and self.node.known == 0:
                await self._async_pull(address)

    async def _async_track(self, version: ConfigVersion) -> None:
        started_s = self._clock.monotonic_s()
        acceptance = self._tracked[version]
        while not acceptance.accepted(self._clock.monotonic_s()):
            self._record_own_answer()
            await self._async_poll_all(self._other_slots())
            is_recent = self._clock.monotonic_s() - started_s < _TRACK_SLOW_AFTER_S
            await asyncio.sleep(_TRACK_INTERVAL_S if is_recent else _TRACK_SLOW_INTERVAL_S)
        _LOGGER.info("%s version %s is in force everywhere", _PREFIX, version)
        if self._last_accepted is None or self._last_accepted.version < version:
            self._last_accepted = acceptance
        await asyncio.sleep(_TRACK_SLOW_INTERVAL_S)
        self._tracked.pop(version, None)

    def _record_own_answer(self) -> None:
        self.update_in_force()
        sent_s = self._clock.monotonic_s()
        answer = self.node.on_poll(self.node.next_poll(), sent_s)
        for acceptance in self._tracked.values():
            acceptance.on_answer(answer, sent_s, self._clock.monotonic_s())

    async def _async_poll_all(self, slots: Iterable[EntrySlot]) -> None:
        await asyncio.gather(*(self._async_poll(slot) for slot in slots))

    async def _async_poll(self, slot: EntrySlot) -> None:
        self.update_in_force()
        poll = self.node.next_poll()
        sent_s = self._clock.monotonic_s()
        try:
            message = await self._link(slot.address).async_query(
                PeerPoll(poll), poll.sequence, PeerPollAnswer, _POLL_TIMEOUT_S
            )
        except ToucandoorError as err:
            if self.peers.on_no_answer(slot.entry, self._clock.monotonic_s()):
                _LOGGER.info("%s %s does not answer polls: %s", _PREFIX, slot.entry, err)
            return
        assert isinstance(message, PeerPollAnswer)
        self._on_answer(message.answer, sent_s)

    def _on_answer(self, answer: PollAnswer, sent_s: float) -> None:
        self.update_in_force()
        now_s = self._clock.monotonic_s()
        self.peers.on_answer(answer.sender, answer.incarnation, now_s)
        self.node.on_answer(answer, sent_s)
        for acceptance in self._tracked.values():
            acceptance.on_answer(answer, sent_s, now_s)
        if answer.known > self.node.known:
            self._pull_from(answer.sender)

    def _pull_from(self, entry: EntryId) -> None:
        for slot in self._configuration.record.slots:
            if slot.entry == entry and slot.address not in self._pulling:
                self._spawn(self._async_pull_if_still_behind(slot.address))

    async def _async_pull_if_still_behind(self, address: str) -> None:
        """Fetch a peer's configuration unless the store's watch brings it within `_PULL_DELAY_S`.

        Without a working watch the configuration is fetched at once.
        """
        self._pulling.add(address)
        if not self._configuration.store_error:
            known = self.node.known
            await asyncio.sleep(_PULL_DELAY_S)
            if self.node.known > known:
                self._pulling.discard(address)
                return
        await self._async_pull(address)

    async def _async_pull(self, address: str) -> None:
        self._pulling.add(address)
        self._query_sequence += 1
        query = ContentQuery(self._query_sequence, self._configuration.record.version)
        try:
            message = await self._link(address).async_query(
                query, query.sequence, ContentAnswer, _CONTENT_TIMEOUT_S
            )
            assert isinstance(message, ContentAnswer)
            if message.head:
                await self._configuration.async_accept_content(message.head, message.parts)
        except ToucandoorError as err:
            _LOGGER.info("%s cannot fetch the configuration from %s: %s", _PREFIX, address, err)
        finally:
            self._pulling.discard(address)

    def _link(self, address: str) -> PeerLink:
        if address not in self._links:
            secret = self._settings.peer_secret.get_secret_value()
            self._links[address] = PeerLink(address, secret, self._hello, self._count_bytes)
        return self._links[address]

    def _count_bytes(self, count: int) -> None:
        self._closed_links_bytes += count

    def _other_slots(self) -> list[EntrySlot]:
        slots = {slot.entry: slot for slot in self._configuration.record.previous_slots}
        slots |= {slot.entry: slot for slot in self._configuration.record.slots}
        return [slot for slot in slots.values() if slot.entry != self._own_slot.entry]

    def _local_slots(self) -> list[EntrySlot]:
        return [
            slot for slot in self._other_slots() if slot.data_centre == self._own_slot.data_centre
        ]

    def _times(self) -> LeaseTimes:
        head = self._configuration.head
        if head is None:
            return LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
        policy = head.configuration.policy
        return LeaseTimes(policy.entry_lease_s, policy.cut_off_grace_s)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)  # type: ignore[call-overload]
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def pending_to_json(pending: list[Pending]) -> list[dict[str, Any]]:
    """Return pending entries as JSON types."""
    return [
        {
            "data_centre": each.data_centre,
            "entry": each.entry,
            "reason": each.reason.value,
            "at_most_s": None if each.at_most_s is None else round(each.at_most_s, 1),
        }
        for each in pending
    ]


def _left_s(until_s: float, now_s: float) -> float:
    return round(max(0.0, until_s - now_s), 1)
