"""Job service of a node that cannot reach the store: peers help, and no stored job is refused."""

from __future__ import annotations

import unittest
from dataclasses import replace
from unittest import mock

import msgspec

from tests.core.scheduling.common import QUEUE, TEAM, configuration, job
from toucandoor.adapters.job_service import (
    NO_ADDRESS,
    JobService,
    JobStatus,
    StoreJobService,
    WriteOutcome,
)
from toucandoor.adapters.peers import Peer, PeerError, PeerNotReachedError
from toucandoor.adapters.relay_service import PeerRequestHandler, RelayJobService
from toucandoor.clock import ManualClock
from toucandoor.core.jobs.models import JobSpec, JobState
from toucandoor.core.records import Transaction
from toucandoor.exceptions import (
    StoreAnswerLostError,
    StoreError,
    StoreUnavailableError,
    ToucandoorError,
)
from toucandoor.fakes.virtual_platform import VirtualRecords
from toucandoor.ids import DataCentreId, EntryId, JobId, QueueAddress, QueueId
from toucandoor.node_messages import (
    AskConfiguration,
    Configuration,
    Failed,
    NodeMessage,
    SubmitJob,
    decode_message,
    encode_message,
)

PEERS = [Peer(EntryId(f"e{number}"), f"10.0.0.{number}:1", DataCentreId("d")) for number in (1, 2)]
STORE_UNAVAILABLE = StoreUnavailableError("unavailable", step="store")


class FixedJobService(JobService):
    """Job service with a fixed outcome for writes and a fixed result or error for queries."""

    def __init__(self, outcome: WriteOutcome, error: StoreError | None = None) -> None:
        self.outcome = outcome
        self.error = error
        self.calls = 0

    def submit(self, spec: JobSpec, until_s: float) -> WriteOutcome:
        self.calls += 1
        return self.outcome

    def cancel(self, job_id: JobId, until_s: float) -> WriteOutcome:
        return self.outcome

    def status(self, job_id: JobId) -> JobStatus | None:
        if self.error is not None:
            raise self.error
        return JobStatus(QUEUE, TEAM, JobState.RUNNING)

    def pending(self, queue: QueueId, address: QueueAddress = NO_ADDRESS) -> int:
        if self.error is not None:
            raise self.error
        return 3


class RelayJobServiceTest(unittest.TestCase):
    """Result of a call by the outcomes at this node and at its peers."""

    def setUp(self) -> None:
        self.clock = ManualClock()
        self.peer_results: list[JobService | ToucandoorError] = []
        self.called_peers: list[Peer] = []
        patcher = mock.patch("toucandoor.adapters.relay_service.call_peer", self.call_peer)
        patcher.start()
        self.addCleanup(patcher.stop)

    def call_peer(self, peer: Peer, message: NodeMessage, _timeout_s: float) -> NodeMessage:
        """Handle an encoded and decoded message as a peer with the next result would."""
        self.called_peers.append(peer)
        service = self.peer_results.pop(0)
        if isinstance(service, ToucandoorError):
            raise service
        received = decode_message(encode_message(message), "test")
        handler = PeerRequestHandler(service, lambda: None, self.clock, lambda: True)
        return decode_message(encode_message(handler.answer(received)), "test")

    def relay(self, own: JobService, *, store_reachable: bool = True) -> RelayJobService:
        directory = mock.Mock()
        directory.nearest_first.return_value = PEERS
        return RelayJobService(own, directory, self.clock, lambda: store_reachable)

    def submit(self, service: RelayJobService) -> WriteOutcome:
        return service.submit(job(1), self.clock.monotonic_s() + 3.0)

    def test_own_access_is_enough(self) -> None:
        self.assertEqual(
            self.submit(self.relay(FixedJobService(WriteOutcome.STORED))), WriteOutcome.STORED
        )
        self.assertEqual(self.called_peers, [])

    def test_a_peer_stores_what_this_node_cannot(self) -> None:
        self.peer_results = [FixedJobService(WriteOutcome.STORED)]
        outcome = self.submit(self.relay(FixedJobService(WriteOutcome.NOT_STORED)))
        self.assertEqual(outcome, WriteOutcome.STORED)

    def test_not_stored_only_if_no_node_may_have_stored_it(self) -> None:
        not_reached = PeerNotReachedError("no", step="t")
        self.peer_results = [not_reached, not_reached]
        outcome = self.submit(self.relay(FixedJobService(WriteOutcome.NOT_STORED)))
        self.assertEqual(outcome, WriteOutcome.NOT_STORED)

    def test_a_peer_without_an_answer_leaves_it_unknown(self) -> None:
        self.peer_results = [
            PeerError("no answer", step="t"),
            FixedJobService(WriteOutcome.NOT_STORED),
        ]
        outcome = self.submit(self.relay(FixedJobService(WriteOutcome.NOT_STORED)))
        self.assertEqual(outcome, WriteOutcome.UNKNOWN)

    def test_own_unknown_outcome_stays_unless_a_peer_has_stored_it(self) -> None:
        self.peer_results = [
            FixedJobService(WriteOutcome.NOT_STORED),
            FixedJobService(WriteOutcome.NOT_STORED),
        ]
        self.assertEqual(
            self.submit(self.relay(FixedJobService(WriteOutcome.UNKNOWN))), WriteOutcome.UNKNOWN
        )

    def test_nothing_is_sent_to_an_unreachable_store(self) -> None:
        own = FixedJobService(WriteOutcome.UNKNOWN)
        not_reached = PeerNotReachedError("no", step="t")
        self.peer_results = [not_reached, not_reached]
        outcome = self.submit(self.relay(own, store_reachable=False))
        self.assertEqual((outcome, own.calls), (WriteOutcome.NOT_STORED, 0))

    def test_queries_go_to_peers(self) -> None:
        self.peer_results = [
            FixedJobService(WriteOutcome.STORED),
            FixedJobService(WriteOutcome.STORED),
        ]
        service = self.relay(FixedJobService(WriteOutcome.STORED, STORE_UNAVAILABLE))
        status = service.status(job(1).job_id)
        assert status is not None
        self.assertEqual(status.state, JobState.RUNNING)
        self.assertEqual(service.pending(QUEUE), 3)

    def test_a_peer_that_cannot_reach_the_store_fails_at_once(self) -> None:
        handler = PeerRequestHandler(
            FixedJobService(WriteOutcome.STORED), lambda: None, self.clock, lambda: False
        )
        self.assertIsInstance(handler.answer(SubmitJob(b"", 1.0)), Failed)
        self.assertNotIsInstance(handler.answer(AskConfiguration(0)), Failed)

    # Guards against a configuration that takes longer than its time-out on the links of all nodes
    # that ask each other for it.
    def test_a_configuration_is_compressed_for_those_who_can_read_it(self) -> None:
        routes = [{"name": f"q{n}", "prefix": f"/q{n}/", "service": "p"} for n in range(1600)]
        source = msgspec.json.encode({"version": 7, "routes": routes})
        present = replace(configuration(version=7), source=source)
        handler = PeerRequestHandler(
            FixedJobService(WriteOutcome.STORED), lambda: present, self.clock, lambda: False
        )
        answer = handler.answer(AskConfiguration(6, compressed=True))
        assert isinstance(answer, Configuration)
        self.assertEqual(answer.record, source)
        self.assertLess(len(answer.source), len(source) / 5)
        former = handler.answer(AskConfiguration(6))
        assert isinstance(former, Configuration)
        self.assertEqual((former.record, former.source), (source, source))
        none_newer = handler.answer(AskConfiguration(7, compressed=True))
        assert isinstance(none_newer, Configuration)
        self.assertEqual(none_newer.record, b"")


class StoreJobServiceTest(unittest.TestCase):
    """Outcome of writes that are repeated, refused or whose answers are lost."""

    def setUp(self) -> None:
        self.records = VirtualRecords()
        self.clock = ManualClock()
        self.store = mock.Mock()
        self.service = StoreJobService(self.store, self.clock)
        patcher = mock.patch("toucandoor.adapters.job_service.time.sleep", self.clock.advance)
        patcher.start()
        self.addCleanup(patcher.stop)

    def submit(self) -> WriteOutcome:
        return self.service.submit(job(1), self.clock.monotonic_s() + 2.0)

    def test_a_write_is_repeated_after_a_lost_answer(self) -> None:
        def write(transaction: Transaction) -> int:
            first = not self.records.records
            revision = self.records.write(transaction)
            if first:
                raise StoreAnswerLostError("lost", step="write")
            return revision

        self.store.write.side_effect = write
        self.assertEqual(self.submit(), WriteOutcome.STORED)

    def test_a_job_submitted_twice_is_stored_once(self) -> None:
        self.store.write.side_effect = self.records.write
        self.assertEqual([self.submit(), self.submit()], [WriteOutcome.STORED] * 2)
        self.assertEqual(len(self.records.records), 1)

    def test_refused_after_a_lost_answer_is_unknown(self) -> None:
        lost = StoreAnswerLostError("lost", step="write")
        self.store.write.side_effect = [lost, *[STORE_UNAVAILABLE] * 50]
        self.assertEqual(self.submit(), WriteOutcome.UNKNOWN)

    def test_refused_at_first_is_not_stored(self) -> None:
        self.store.write.side_effect = STORE_UNAVAILABLE
        self.assertEqual(self.submit(), WriteOutcome.NOT_STORED)


if __name__ == "__main__":
    unittest.main()
