"""Keeps the newest configuration and the operators' waves of maintenance in memory."""

from __future__ import annotations

import logging
import threading
from typing import TYPE_CHECKING, Final

from toucandoor.core.records import HistoryLostError
from toucandoor.exceptions import ToucandoorError
from toucandoor.platform.operator_records import (
    CONFIGURATION_KEY,
    OPERATOR_PREFIX,
    WAVE_PREFIX,
    decode_configuration,
    decode_wave,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from toucandoor.clock import Clock
    from toucandoor.core.jobs.configuration import JobConfiguration
    from toucandoor.core.maintenance.job_waves import WaveOrder
    from toucandoor.core.records import Record, RecordStore

_LOGGER = logging.getLogger(__name__)

WATCH_WAIT_S: Final = 1.0
"""How long a watch waits; a silent connection then shows within the two seconds in which a
configuration must be in force."""
STORE_UNREACHABLE_AFTER_S: Final = 2.0
"""Silence of the store after which it counts as away from this node: a watch and its retry."""
RETRY_PAUSE_S: Final = 0.2
"""Pause after a failed read of the store."""


class ConfigurationWatch:
    """Follows what operators write to the store; never goes back to an older version."""

    def __init__(
        self,
        store: RecordStore,
        clock: Clock,
        fetch_from_peers: Callable[[int], bytes] | None = None,
    ) -> None:
        """Initialize.

        Args:
            store: The platform's store.
            clock: The clock.
            ask_peers: Returns a peer's configuration that is newer than a version, empty for none;
                asked while the store does not answer.
        """
        self._store = store
        self._clock = clock
        self._lock = threading.Lock()
        self._listeners: list[Callable[[JobConfiguration], None]] = []
        self._current: JobConfiguration | None = None
        self.waves: dict[int, WaveOrder] = {}
        self._fetch_from_peers = fetch_from_peers
        self._store_answered_s = -STORE_UNREACHABLE_AFTER_S
        self._stop = threading.Event()

    @property
    def current(self) -> JobConfiguration | None:
        """The newest configuration, None before the first."""
        return self._current

    @property
    def store_reachable(self) -> bool:
        """Whether the store has answered this node lately."""
        return self._clock.monotonic_s() - self._store_answered_s < STORE_UNREACHABLE_AFTER_S

    def start(self) -> None:
        """Follow the store in a thread of its own."""
        threading.Thread(target=self._run, name="configuration", daemon=True).start()

    def stop(self) -> None:
        """End the thread after its present call."""
        self._stop.set()

    def add_listener(self, listener: Callable[[JobConfiguration], None]) -> None:
        """Call a function with the present and each newer configuration."""
        with self._lock:
            self._listeners.append(listener)
            current = self._current
        if current is not None:
            listener(current)

    def remove_listener(self, listener: Callable[[JobConfiguration], None]) -> None:
        """Call a function no more."""
        with self._lock:
            self._listeners.remove(listener)

    def update(self, configuration: JobConfiguration, origin: str) -> None:
        """Take a configuration if it is newer than the present one."""
        with self._lock:
            if self._current is not None and configuration.version <= self._current.version:
                return
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
        lost = False
        while not self._stop.is_set():
            try:
                if revision is None:
                    revision = self._read_all()
                changes = self._store.watch(OPERATOR_PREFIX, revision, WATCH_WAIT_S)
                for record in changes.written:
                    self._apply_record(record)
                revision = changes.revision
                self._store_answered_s = self._clock.monotonic_s()
                if lost:
                    _LOGGER.info("configuration: the store is back")
                lost = False
            except HistoryLostError:
                _LOGGER.info("configuration: history is gone; reading anew")
                self._store_answered_s = self._clock.monotonic_s()
                revision = None
            except ToucandoorError as err:
                if not lost:
                    _LOGGER.warning("configuration: the store does not answer: %s", err)
                lost = True
                revision = None
                self._update_from_peers()
                self._stop.wait(RETRY_PAUSE_S)

    def _update_from_peers(self) -> None:
        if self._fetch_from_peers is None:
            return
        source = self._fetch_from_peers(self._current.version if self._current is not None else 0)
        configuration = decode_configuration(source) if source else None
        if configuration is not None:
            self.update(configuration, "peer")

    def _read_all(self) -> int:
        snapshot = self._store.read_prefix(OPERATOR_PREFIX)
        for record in snapshot.records:
            self._apply_record(record)
        return snapshot.revision

    def _apply_record(self, record: Record) -> None:
        if record.key == CONFIGURATION_KEY:
            configuration = decode_configuration(record.value)
            if configuration is not None:
                self.update(configuration, "store")
        elif record.key.startswith(WAVE_PREFIX):
            wave = decode_wave(record.value, self._clock.monotonic_s())
            if wave is not None and wave.number not in self.waves:
                self.waves[wave.number] = wave
