"""Controller task that keeps this VM's leases and works out what is in force everywhere."""

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
_ASK_TIMEOUT_S = 1.0
_CONTENT_TIMEOUT_S = 3.0
_WATCH_FIRST_S = 0.3
_FOLLOW_INTERVAL_S = 0.25
_FOLLOW_SLOW_INTERVAL_S = 1.0
_FOLLOW_FAST_S = 3.0


class InForceTask:
    """Owns the leases of this VM and the links to its peers."""

    def __init__(
        self,
        settings: ControllerSettings,
        incarnation: IncarnationId,
        configuration: ConfigurationTask,
        clock: Clock,
    ) -> None:
        self._me = EntrySlot(settings.entry_id, settings.data_centre, settings.link_address)
        self._settings = settings
        self._clock = clock
        self._configuration = configuration
        times = LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
        started_s = clock.monotonic_s()
        self.node = LeaseNode(self._me.entry, incarnation, times, started_s)
        self.sessions = EntrySessions(times, started_s)
        self.members = PeerTracker()
        self._hello = Hello(PROTOCOL_VERSION, settings.entry_id, incarnation, settings.data_centre)
        self._links: dict[str, PeerLink] = {}
        self._bytes = 0
        self._sequence = 0
        self._following: dict[ConfigVersion, Acceptance] = {}
        self._pulling: set[str] = set()
        self._background: set[asyncio.Task[None]] = set()
        self._random = random.Random(incarnation)

    def take_record(self, record: HeadRecord) -> None:
        """Reckon by a new head record from now on."""
        self.node.set_known(record.version)
        self.node.set_slots(record.lease_slots())
        head = self._configuration.head
        if head is not None:
            policy = head.configuration.policy
            times = LeaseTimes(policy.entry_lease_s, policy.cut_off_grace_s)
            self.node.set_times(times, record.longest_times())
            self.sessions.set_times(times, record.longest_times())
        self.refresh()

    def refresh(self) -> None:
        """Note what the entry processes here have in force by now."""
        now_s = self._clock.monotonic_s()
        self.node.set_in_force(self.sessions.in_force(self.node.known, now_s))

    def hand_on(self, incarnation: IncarnationId) -> float:
        """Return for how long from its question an entry process may start keyed work."""
        self.refresh()
        now_s = self._clock.monotonic_s()
        return self.sessions.delegate(
            incarnation, self.node.in_force, self.node.keyed_until_s(), now_s
        )

    def on_poll(self, poll: Poll) -> PollAnswer:
        """Answer a peer's heartbeat, and take its configuration where that is newer."""
        self.refresh()
        now_s = self._clock.monotonic_s()
        answer = self.node.on_poll(poll, now_s)
        self.members.on_poll(poll.sender, poll.incarnation, now_s)
        if poll.known > self.node.known:
            self._pull_from(poll.sender)
        return answer

    def on_goodbye(self, goodbye: PeerGoodbye) -> None:
        """Note a planned stop of a peer."""
        entry, incarnation = EntryId(goodbye.sender), IncarnationId(goodbye.incarnation)
        self.node.grants.drop_ended(entry, incarnation)
        self.members.on_goodbye(entry, incarnation)

    def content_for(self, ask: ContentQuery) -> ContentAnswer:
        """Return what a peer lacks of the newest configuration."""
        head, parts = self._configuration.content_since(ask.version)
        return ContentAnswer(ask.sequence, head, parts)

    async def async_run(self) -> None:
        """Send heartbeats and keep the leases for ever."""
        while True:
            self.refresh()
            try:
                await self._async_turn()
            except ToucandoorError as err:
                _LOGGER.info("%s %s", _PREFIX, err)
            interval_s = min(DEFAULT_POLL_INTERVAL_S, self._times().entry_lease_s / 3)
            await asyncio.sleep(interval_s * self._random.uniform(0.9, 1.1))

    def follow(self, record: HeadRecord) -> Acceptance:
        """Start to work out whether a version is in force everywhere."""
        version = record.version
        if version not in self._following:
            self._following[version] = Acceptance(
                version, record.slots, record.longest_times(), record.previous_slots
            )
            self._spawn(self._async_follow(version))
        return self._following[version]

    async def async_wait_accepted(self, record: HeadRecord, within_s: float) -> list[Pending]:
        """Wait until a version is in force everywhere; return what is still pending."""
        followed = self.follow(record)
        until_s = self._clock.monotonic_s() + within_s
        while True:
            now_s = self._clock.monotonic_s()
            if followed.accepted(now_s) or now_s >= until_s:
                return followed.pending(now_s)
            await asyncio.sleep(0.02)

    def pending(self) -> dict[ConfigVersion, list[Pending]]:
        """Return what is awaited for each version that is followed here."""
        now_s = self._clock.monotonic_s()
        return {version: each.pending(now_s) for version, each in self._following.items()}

    def status(self) -> dict[str, Any]:
        """Return what operators see of leases, peers and pending versions, as JSON types."""
        now_s = self._clock.monotonic_s()
        near = {slot.entry for slot in self._near()}
        members = [
            self.members.status(slot.entry, now_s, sends_polls=slot.entry in near)
            for slot in self._others()
        ]
        return {
            "record_version": self.node.known,
            "in_force": self.node.in_force,
            "keyed_left_s": _left_s(self.node.keyed_until_s(), now_s),
            "fresh_left_s": _left_s(self.node.fresh_until_s(), now_s),
            "peers": {m.entry: m.reach.value for m in members},
            "peer_bytes": self.bytes_moved(),
            "pending": {
                str(version): pending_as_json(pending)
                for version, pending in self.pending().items()
            },
        }

    def bytes_moved(self) -> int:
        """Return the bytes of messages that this side's questions moved so far."""
        return self._bytes + sum(link.bytes_transferred() for link in self._links.values())

    async def async_stop(self) -> None:
        """Tell the peers goodbye where nothing here starts keyed work any more."""
        until_s = self._clock.monotonic_s() + self._settings.stop_grace_s
        while self.sessions.may_hold_lease(self._clock.monotonic_s()):
            if self._clock.monotonic_s() >= until_s:
                return
            await asyncio.sleep(0.05)
        goodbye = PeerGoodbye(self._me.entry, self.node.incarnation)
        links = [self._link(slot.address) for slot in self._others()]
        await asyncio.gather(*(each.async_send(goodbye) for each in links), return_exceptions=True)

    async def _async_turn(self) -> None:
        now_s = self._clock.monotonic_s()
        age_s = self.node.fresh_age_s(now_s)
        interval_s = min(
            DEFAULT_FRESHNESS_INTERVAL_S, self._times().grace_s / CONFIRMATIONS_PER_GRACE
        )
        confirmed = True
        if age_s is None or age_s > interval_s * self._random.uniform(1.0, 1.5):
            confirmed = await self._async_read_store()
        lease_left_s = self.node.entry_lease_until_s() - now_s
        wide = not confirmed or lease_left_s < self._times().entry_lease_s / 2
        known = self._others() if wide else self._near()
        if not self._configuration.record.slots:
            await self._async_find_peers()
        await self._async_poll_all(known)

    async def _async_read_store(self) -> bool:
        sent_s = self._clock.monotonic_s()
        try:
            record, _ = await self._configuration.async_read()
        except StoreError:
            return False
        self.node.on_store_read(record.version, sent_s)
        return True

    async def _async_find_peers(self) -> None:
        for address in self._settings.peer_addresses:
            if address != self._me.address and self.node.known == 0:
                await self._async_pull(address)

    async def _async_follow(self, version: ConfigVersion) -> None:
        started_s = self._clock.monotonic_s()
        followed = self._following[version]
        while not followed.accepted(self._clock.monotonic_s()):
            self._answer_self()
            await self._async_poll_all(self._others())
            young = self._clock.monotonic_s() - started_s < _FOLLOW_FAST_S
            await asyncio.sleep(_FOLLOW_INTERVAL_S if young else _FOLLOW_SLOW_INTERVAL_S)
        _LOGGER.info("%s version %s is in force everywhere", _PREFIX, version)
        await asyncio.sleep(_FOLLOW_SLOW_INTERVAL_S)
        self._following.pop(version, None)

    def _answer_self(self) -> None:
        self.refresh()
        sent_s = self._clock.monotonic_s()
        answer = self.node.on_poll(self.node.next_poll(), sent_s)
        for followed in self._following.values():
            followed.on_answer(answer, sent_s, self._clock.monotonic_s())

    async def _async_poll_all(self, slots: Iterable[EntrySlot]) -> None:
        await asyncio.gather(*(self._async_poll(slot) for slot in slots))

    async def _async_poll(self, slot: EntrySlot) -> None:
        self.refresh()
        poll = self.node.next_poll()
        sent_s = self._clock.monotonic_s()
        try:
            message = await self._link(slot.address).async_query(
                PeerPoll(poll), poll.sequence, PeerPollAnswer, _ASK_TIMEOUT_S
            )
        except ToucandoorError as err:
            if self.members.on_no_answer(slot.entry, self._clock.monotonic_s()):
                _LOGGER.info("%s %s is silent: %s", _PREFIX, slot.entry, err)
            return
        assert isinstance(message, PeerPollAnswer)
        self._on_answer(message.answer, sent_s)

    def _on_answer(self, answer: PollAnswer, sent_s: float) -> None:
        self.refresh()
        now_s = self._clock.monotonic_s()
        self.members.on_answer(answer.sender, answer.incarnation, now_s)
        self.node.on_answer(answer, sent_s)
        for followed in self._following.values():
            followed.on_answer(answer, sent_s, now_s)
        if answer.known > self.node.known:
            self._pull_from(answer.sender)

    def _pull_from(self, entry: EntryId) -> None:
        for slot in self._configuration.record.slots:
            if slot.entry == entry and slot.address not in self._pulling:
                self._spawn(self._async_pull_later(slot.address))

    async def _async_pull_later(self, address: str) -> None:
        """Leave the watch on the store a moment to bring the same content."""
        self._pulling.add(address)
        if not self._configuration.store_error:
            known = self.node.known
            await asyncio.sleep(_WATCH_FIRST_S)
            if self.node.known > known:
                self._pulling.discard(address)
                return
        await self._async_pull(address)

    async def _async_pull(self, address: str) -> None:
        self._pulling.add(address)
        self._sequence += 1
        ask = ContentQuery(self._sequence, self._configuration.record.version)
        try:
            message = await self._link(address).async_query(
                ask, ask.sequence, ContentAnswer, _CONTENT_TIMEOUT_S
            )
            assert isinstance(message, ContentAnswer)
            if message.head:
                await self._configuration.async_accept_content(message.head, message.parts)
        except ToucandoorError as err:
            _LOGGER.info("%s nothing taken from %s: %s", _PREFIX, address, err)
        finally:
            self._pulling.discard(address)

    def _link(self, address: str) -> PeerLink:
        if address not in self._links:
            secret = self._settings.peer_secret.get_secret_value()
            self._links[address] = PeerLink(address, secret, self._hello, self._count_bytes)
        return self._links[address]

    def _count_bytes(self, count: int) -> None:
        self._bytes += count

    def _others(self) -> list[EntrySlot]:
        slots = {slot.entry: slot for slot in self._configuration.record.previous_slots}
        slots |= {slot.entry: slot for slot in self._configuration.record.slots}
        return [slot for slot in slots.values() if slot.entry != self._me.entry]

    def _near(self) -> list[EntrySlot]:
        return [slot for slot in self._others() if slot.data_centre == self._me.data_centre]

    def _times(self) -> LeaseTimes:
        head = self._configuration.head
        if head is None:
            return LeaseTimes(DEFAULT_ENTRY_LEASE_S, DEFAULT_CUT_OFF_GRACE_S)
        policy = head.configuration.policy
        return LeaseTimes(policy.entry_lease_s, policy.cut_off_grace_s)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)  # type: ignore[call-overload]
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def pending_as_json(pending: list[Pending]) -> list[dict[str, Any]]:
    """Return pending entries as plain JSON types."""
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
