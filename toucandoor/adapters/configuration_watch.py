"""Watches the store for the operators' configuration, maintenance waves and evacuations."""

from __future__ import annotations

import logging
import threading
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from toucandoor.adapters.pauses import jittered_s
from toucandoor.core.overload.outages import StoreOutages
from toucandoor.core.ownership.lease import OWNER_KEY
from toucandoor.core.records import HistoryLostError
from toucandoor.exceptions import ToucandoorError
from toucandoor.platform.operator_records import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    decode_configuration,
    decode_evacuation,
    decode_evacuation_end,
    decode_wave,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.evacuation.requests import EvacuationRequests
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.maintenance.job_wave_models import VmWaveOrder
    from toucandoor.core.records import Changes, Record, RecordStore

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 1.0
"""Longest wait of a watch, so that a dead connection is detected within the two seconds in which a
configuration must be in force."""
STORE_UNREACHABLE_AFTER_S: Final = 2.0
"""Time without an answer after which the store counts as unreachable from this node: a watch and
its retry."""
RETRY_PAUSE_S: Final = 0.1
"""Pause after a failed call to the store. Callers give up within three seconds, so each tenth of a
second for which a node does not notice the store's return costs jobs."""
REREAD_AFTER_S: Final = 1.0
"""Time without an answer after which records of a large configuration are read instead of watched:
a watch returns each version that was missed, which takes long on a slow link."""
LARGE_BYTES: Final = 64 * 1024
"""Size from which a configuration is large."""
PROBE_WAIT_S: Final = 0.01
"""Wait of a watch after a failed call: the store answers it at once when it is back."""
PROBES_MAX: Final = 8
"""Most reads in flight beside a call that gets no answer: more than start within its time-out."""
PEERS_INTERVAL_S: Final = 0.2
"""Interval at which peers are asked for a newer configuration while the store does not answer."""


class ConfigurationWatch:
    """Keeps the newest configuration and the waves in memory; never returns to an older version.

    Attributes:
        waves: Maintenance waves by their number.
        evacuations: Requests to evacuate data centres; None if they are not supported.
        outages: Lengths of the store's outages, as this node has seen them.
    """

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        fetch_from_peers: Callable[[int], bytes] | None = None,
        evacuations: EvacuationRequests | None = None,
    ) -> None:
        """Initialize.

        Args:
            store: The platform's store.
            clock: The clock.
            fetch_from_peers: Returns the record of a peer's configuration that is newer than the
                given version, empty for none; called while the store does not answer.
            evacuations: Receives the requests to evacuate data centres; None to ignore them.
        """
        self.evacuations = evacuations
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._listeners: list[Callable[[JobConfiguration], None]] = []
        self._current: JobConfiguration | None = None
        self.waves: dict[int, VmWaveOrder] = {}
        self.outages = StoreOutages()
        self._fetch_from_peers = fetch_from_peers
        self._store_answered_s = -STORE_UNREACHABLE_AFTER_S
        self._store_failing = False
        self._store_fault = ""
        self._call_sent_s = 0.0
        self._probes = threading.BoundedSemaphore(PROBES_MAX)
        self._stop = threading.Event()

    @property
    def current(self) -> JobConfiguration | None:
        """The newest configuration; None before the first."""
        return self._current

    @property
    def store_reachable(self) -> bool:
        """Whether the store has answered this node recently."""
        return self._unanswered_s < STORE_UNREACHABLE_AFTER_S

    @property
    def _unanswered_s(self) -> float:
        return self._clock.monotonic_s() - self._store_answered_s

    def start(self) -> None:
        """Start to watch the store in a thread, and in another one to ask peers in its place."""
        threading.Thread(target=self._run, name="configuration", daemon=True).start()
        threading.Thread(target=self._probe_silent_store, name="probes", daemon=True).start()
        if self._fetch_from_peers is not None:
            threading.Thread(
                target=self._follow_peers,
                args=(self._fetch_from_peers,),
                name="peer-configuration",
                daemon=True,
            ).start()

    def stop(self) -> None:
        """Stop the thread after its present call to the store."""
        self._stop.set()

    def add_listener(self, listener: Callable[[JobConfiguration], None]) -> None:
        """Call a function with the present configuration, if any, and each newer one."""
        with self._lock:
            self._listeners.append(listener)
            current = self._current
        if current is not None:
            listener(current)

    def remove_listener(self, listener: Callable[[JobConfiguration], None]) -> None:
        """Stop calling a function that was added."""
        with self._lock:
            self._listeners.remove(listener)

    def update(self, configuration: JobConfiguration, origin: str) -> None:
        """Replace the present configuration and call the listeners, if the given one is newer.

        Args:
            configuration: The configuration.
            origin: Where it comes from, for the log: ``store`` or ``peer``.
        """
        with self._lock:
            former = self._current
            if former is not None:
                if configuration.version <= former.version:
                    return
                reused = configuration.reuses_names_of(former)
                since = configuration.version if reused else former.names_since
                configuration = replace(configuration, names_since=since)
            self._current = configuration
            listeners = list(self._listeners)
        _LOGGER.info(
            "configuration: version %s is in force",
            configuration.version,
            extra={
                "origin": origin,
                "queues": len(configuration.queues),
                "teams": len(configuration.teams),
            },
        )
        for listener in listeners:
            listener(configuration)

    def _run(self) -> None:
        revision: int | None = None
        wait_s = WATCH_WAIT_S
        while not self._stop.is_set():
            self._call_sent_s = self._clock.monotonic_s()
            try:
                if revision is None:
                    revision = self._read_all()
                    self._on_answer()
                sent_s = self._clock.monotonic_s()
                changes = self._store.watch(OPERATOR_PREFIX, revision, wait_s)
                self._apply_evacuations(changes, sent_s, wait_s)
                for record in changes.written:
                    self._apply_record(record)
                revision = changes.revision
                if self.evacuations is not None and self.evacuations.needs_read:
                    revision = None
                wait_s = WATCH_WAIT_S
                self._on_answer()
            except HistoryLostError:
                _LOGGER.info(
                    "configuration: the store no longer has all changes; reading all records again"
                )
                self._on_answer()
                revision = None
            except ToucandoorError as err:
                if str(err) != self._store_fault:
                    _LOGGER.warning("configuration: reading or watching the store failed: %s", err)
                self._store_failing, self._store_fault = True, str(err)
                self.outages.on_failure(self._clock.monotonic_s())
                wait_s = PROBE_WAIT_S
                if self._unanswered_s > REREAD_AFTER_S and self._is_large():
                    revision = None
                self._stop.wait(jittered_s(RETRY_PAUSE_S))

    def _is_large(self) -> bool:
        """Return whether several versions of the configuration take long on a slow link."""
        return self._current is not None and len(self._current.source) >= LARGE_BYTES

    def _on_answer(self) -> None:
        self._store_answered_s = self._clock.monotonic_s()
        self.outages.on_answer(self._store_answered_s)
        if self._store_failing:
            _LOGGER.info("configuration: the store answers again")
        self._store_failing, self._store_fault = False, ""

    def _probe_silent_store(self) -> None:
        """Read a small record at an interval while a call after a failed one gets no answer.

        Calls that a silent store has not received are lost: the first call after its return must
        not wait for the time-out of the last one before.
        """
        while not self._stop.wait(jittered_s(RETRY_PAUSE_S)):
            waited_s = self._clock.monotonic_s() - self._call_sent_s
            silent = self._store_failing and waited_s >= RETRY_PAUSE_S
            if silent and self._probes.acquire(blocking=False):
                threading.Thread(target=self._probe, name="probe", daemon=True).start()

    def _probe(self) -> None:
        try:
            self._store.read(OWNER_KEY)
        except ToucandoorError as err:
            _LOGGER.debug("configuration: a probe of the store failed: %s", err)
        else:
            self._on_answer()
        finally:
            self._probes.release()

    def _follow_peers(self, fetch: Callable[[int], bytes]) -> None:
        """Take newer configurations from peers while the store does not answer.

        This has a thread of its own: connecting to peers that are cut off takes longer than the
        return of the store may go unnoticed.
        """
        while not self._stop.wait(PEERS_INTERVAL_S):
            if not self._store_failing:
                continue
            source = fetch(self._current.version if self._current is not None else 0)
            configuration = decode_configuration(source) if source else None
            if configuration is not None:
                self.update(configuration, "peer")

    def _read_all(self) -> int:
        sent_s = self._clock.monotonic_s()
        snapshot = self._store.read_prefix(OPERATOR_PREFIX)
        if self.evacuations is not None:
            found = [
                decode_evacuation(record.key, record.value, record.revision)
                for record in snapshot.records
                if record.key.startswith(EVACUATION_PREFIX)
            ]
            now_s = self._clock.monotonic_s()
            self.evacuations.on_read(found, snapshot.revision, sent_s, now_s)
        for record in snapshot.records:
            self._apply_record(record)
        return snapshot.revision

    def _apply_evacuations(self, changes: Changes, sent_s: float, wait_s: float) -> None:
        """Pass on the requests that a watch returned, also if there are none."""
        if self.evacuations is None:
            return
        events = [
            decode_evacuation(record.key, record.value, record.revision)
            for record in changes.written
            if record.key.startswith(EVACUATION_PREFIX)
        ]
        revisions = changes.deletion_revisions or (changes.revision,) * len(changes.deleted)
        events += [
            decode_evacuation_end(key, revision)
            for key, revision in zip(changes.deleted, revisions, strict=True)
            if key.startswith(EVACUATION_PREFIX)
        ]
        now_s = self._clock.monotonic_s()
        # The store answers a watch without changes only once it has waited.
        waited = not changes.written and not changes.deleted and now_s - sent_s >= wait_s
        as_of_s = sent_s + wait_s if waited else sent_s
        self.evacuations.on_changes(events, changes.revision, as_of_s, now_s)

    def _apply_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            configuration = decode_configuration(record.value)
            if configuration is not None:
                self.update(configuration, "store")
        elif record.key.startswith(WAVE_PREFIX):
            wave = decode_wave(record.value, self._clock.monotonic_s())
            if wave is not None and wave.number not in self.waves:
                self.waves[wave.number] = wave
