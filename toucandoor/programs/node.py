"""Node program of an entry VM: accepts jobs, and schedules them while it owns the schedule."""

from __future__ import annotations

import logging
import os
import signal
import threading
import time
import zlib
from typing import TYPE_CHECKING, Annotated, Final

import typer

from toucandoor.adapters.bounded_logs import set_up_bounded_logs
from toucandoor.adapters.call_loop import CallLoop
from toucandoor.adapters.configuration_watch import ConfigurationWatch
from toucandoor.adapters.data_centres import DataCentreDirectory
from toucandoor.adapters.job_callers import JobApi
from toucandoor.adapters.job_service import StoreJobService
from toucandoor.adapters.load_watch import LoadWatch
from toucandoor.adapters.node_metrics import NodeMetrics, metrics_app
from toucandoor.adapters.owner_task import OwnerTask
from toucandoor.adapters.peers import (
    PEER_CONNECT_TIMEOUT_S,
    Peer,
    PeerDirectory,
    PeerError,
    PeerServer,
    call_peer,
)
from toucandoor.adapters.relay_service import PEERS_TRIED_MAX, PeerRequestHandler, RelayJobService
from toucandoor.adapters.term_context import OwnerDependencies
from toucandoor.adapters.wsgi import close_after_answers, make_server, respond
from toucandoor.clock import BootClock
from toucandoor.core.admission.submission import FirstRejection
from toucandoor.core.evacuation.requests import EvacuationRequests
from toucandoor.core.evacuation.submissions import RefuseWhileAllEvacuated
from toucandoor.core.overload.followed_report import FollowedReport
from toucandoor.core.ownership.candidates import VmCapacity
from toucandoor.core.scheduling.policies import Policies
from toucandoor.exceptions import SettingsError
from toucandoor.ids import ConfigVersion, DataCentreId, EntryId
from toucandoor.node_messages import AskConfiguration, Configuration
from toucandoor.platform.async_http import AsyncPlatformHttp
from toucandoor.platform.http import PlatformHttp
from toucandoor.platform.machines import PlatformAdvice, PlatformVms
from toucandoor.platform.settings import load_node_settings
from toucandoor.platform.store import PlatformStore
from toucandoor.platform.workers import PlatformWorkers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cheroot import wsgi

    from toucandoor.adapters.wsgi import Environ, StartResponse
    from toucandoor.core.admission.submission import SubmissionPolicy
    from toucandoor.platform.settings import NodeSettings

_LOGGER = logging.getLogger(__name__)

PROGRAM: Final = "toucandoor-node"
STORE_TIMEOUT_S: Final = 0.9
"""Time-out of a call to the store. An answer that is sixty times slower than usual takes 0.25 s.
Renewals of the ownership have a shorter time-out, so that they can be tried again."""
BYTES_PER_S_AND_MBPS: Final = 125_000
CALLER_THREADS: Final = 24
"""Calls of callers served at once; each waits for a few answers of the store."""
READY_THREADS: Final = 2
METRICS_THREADS: Final = 1
IDLE_TIMEOUT_S: Final = 20
"""Longest idle time of a caller's connection; above the callers' own, so that they close first."""
BODY_BYTES_MAX: Final = 1_048_576
"""Largest body of a call that is read; a value in the store can hold no more."""
HANDOVER_TIMEOUT_S: Final = 1.0
"""Longest wait for the release of the ownership while the node stops."""
BALANCER_REMOVAL_S: Final = 2.5
"""Time for which a stopping node still serves callers: the balancer removes it after two failed
readiness checks, one second apart."""
LOG_FLUSH_TIMEOUT_S: Final = 0.3
"""Longest wait for the last log lines while the node stops."""
STOP_MARGIN_S: Final = 1.5
"""Part of the grace period that is kept free after the time-out of calls still being served."""


class Node:
    """The servers and threads of a process.

    Args:
        settings: Settings of the process.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        self._clock = BootClock()
        self._metrics = NodeMetrics()
        http = PlatformHttp(self._metrics.record_platform_call, self._metrics.record_platform_bytes)
        worker_http = AsyncPlatformHttp(
            self._metrics.record_platform_call, self._metrics.record_platform_bytes
        )
        link_bytes_per_s = settings.link_mbps * BYTES_PER_S_AND_MBPS
        self._store = PlatformStore(
            http,
            settings.store_address,
            STORE_TIMEOUT_S,
            settings.store_value_bytes_max,
            link_bytes_per_s,
        )
        peer_address = f"{settings.ip}:{settings.peer_port_first}"
        capacity = VmCapacity(settings.processor_cores, settings.link_mbps)
        this_node = Peer(settings.entry_id, peer_address, settings.data_centre, capacity)
        self._peers = PeerDirectory(self._store, this_node, _seeds(settings))
        evacuations = (
            EvacuationRequests(settings.evacuate_s, settings.vm_move_s)
            if settings.evacuate_s is not None
            else None
        )
        self._configuration = ConfigurationWatch(
            self._store, self._clock, self._fetch_peer_configuration, evacuations
        )
        own_jobs = StoreJobService(self._store, self._clock)
        peer_requests = PeerRequestHandler(
            own_jobs,
            lambda: self._configuration.current,
            self._clock,
            lambda: self._configuration.store_reachable,
        )
        self._peer_server = PeerServer(peer_address, peer_requests.answer)
        self._jobs = RelayJobService(
            own_jobs, self._peers, self._clock, lambda: self._configuration.store_reachable
        )
        vms = PlatformVms(http, settings.vm_list_address)
        self._owner = OwnerTask(
            OwnerDependencies(
                entry_id=settings.entry_id,
                settings=settings,
                clock=self._clock,
                store=self._store,
                workers=PlatformWorkers(worker_http, self._clock, link_bytes_per_s),
                call_loop=CallLoop(),
                vms=vms,
                advice=PlatformAdvice(http, settings.advice_address),
                configuration=self._configuration,
                metrics=self._metrics,
            )
        )
        self._stopping = threading.Event()
        data_centres = DataCentreDirectory(
            self._store, vms if settings.vm_list_address else None, this_node, self._clock
        )
        load = FollowedReport(self._clock)
        self._load_watch = LoadWatch(self._store, load, self._metrics)
        self._job_api = JobApi(
            self._jobs,
            lambda: self._configuration.current,
            self._clock,
            self._metrics,
            lambda: self._configuration.store_reachable,
            FirstRejection(self._submission_policies(load, data_centres)),
            self._configuration.outages,
            settings.store_value_bytes_max,
        )
        self._configuration.add_listener(
            lambda current: self._metrics.set_configuration_version(current.version)
        )
        self._caller_http = make_server(
            settings.caller_address, self._job_api, CALLER_THREADS, IDLE_TIMEOUT_S
        )
        self._caller_http.max_request_body_size = BODY_BYTES_MAX
        self._ready_http = make_server(settings.ready_address, self._ready_app, READY_THREADS)
        self._metrics_address = f"{settings.ip}:{settings.peer_port_last}"
        self._metrics_http = make_server(self._metrics_address, metrics_app, METRICS_THREADS)

    def serve(self) -> None:
        """Run until a stop signal."""
        signal.signal(signal.SIGTERM, self._on_stop_signal)
        signal.signal(signal.SIGINT, self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self._peer_server.start()
        self._peers.start()
        self._configuration.start()
        self._load_watch.start()
        self._owner.start()
        for server in (self._ready_http, self._caller_http, self._metrics_http):
            server.prepare()
            threading.Thread(target=_serve, args=(server,), daemon=True).start()
        _LOGGER.info(
            "node: started",
            extra={
                "entry": self._settings.entry_id,
                "data_centre": self._settings.data_centre,
                "callers": self._settings.caller_address,
                "metrics": self._metrics_address,
            }
            | self._switched_off_fields(),
        )
        self._stopping.wait()
        self._stop()

    def _switched_off_fields(self) -> dict[str, str]:
        """Return the log field that names what is switched off; none if nothing is."""
        off = sorted(mechanism.value for mechanism in self._settings.switched_off)
        return {"switched_off": ", ".join(off)} if off else {}

    def _stop(self) -> None:
        started_s = self._clock.monotonic_s()
        _LOGGER.info("node: stopping")
        close_after_answers(self._caller_http)
        self._owner.stop(HANDOVER_TIMEOUT_S)
        self._peers.stop()
        left_s = started_s + BALANCER_REMOVAL_S - self._clock.monotonic_s()
        if left_s > 0:
            time.sleep(left_s)
        self._configuration.stop()
        self._load_watch.stop()
        self._caller_http.shutdown_timeout = max(
            0.1, self._settings.grace_s - BALANCER_REMOVAL_S - STOP_MARGIN_S
        )
        self._caller_http.stop()
        self._job_api.outcomes.log_unanswered()
        _LOGGER.info("node: stopped")

    def _submission_policies(
        self, load: FollowedReport, data_centres: DataCentreDirectory
    ) -> list[SubmissionPolicy]:
        """Return the policies that may reject a submission, in the order of their questions."""
        by_load = Policies(self._settings.switched_off).load_refusals(
            load, self._metrics.set_load_report_age, self._names_since
        )
        policies: list[SubmissionPolicy] = [by_load]
        evacuations = self._configuration.evacuations
        if evacuations is not None:
            policies.append(
                RefuseWhileAllEvacuated(evacuations, data_centres.data_centres, self._clock)
            )
        return policies

    def _names_since(self) -> ConfigVersion:
        current = self._configuration.current
        return ConfigVersion(0) if current is None else current.names_since

    def _fetch_peer_configuration(self, newer_than: int) -> bytes:
        """Return the record of a peer's newer configuration; empty if none has one."""
        for peer in self._peers.nearest_first()[:PEERS_TRIED_MAX]:
            try:
                question = AskConfiguration(newer_than, compressed=True)
                answer = call_peer(peer, question, PEER_CONNECT_TIMEOUT_S)
                if isinstance(answer, Configuration) and answer.source:
                    return answer.record
            except (PeerError, zlib.error) as err:
                _LOGGER.info("peers: fetching the configuration failed: %s", err)
        return b""

    def _on_stop_signal(self, number: int, _frame: object) -> None:
        self._stopping.set()

    def _on_reload_signal(self, number: int, _frame: object) -> None:
        try:
            load_node_settings()
            _LOGGER.info("node: settings read again; they take effect at the next start")
        except SettingsError as err:
            _LOGGER.error("node: loading the settings again failed: %s", err)

    def _ready_app(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        ready = (
            not self._stopping.is_set()
            and self._configuration.current is not None
            and self._configuration.store_reachable
        )
        return respond(start_response, 200 if ready else 503, b"{}", "application/json")


def _seeds(settings: NodeSettings) -> tuple[Peer, ...]:
    """Return the nodes that the settings name; ports are the same on all nodes."""
    hosts = [address.partition(":")[0] for address in settings.seed_addresses]
    return tuple(
        Peer(EntryId(host), f"{host}:{settings.peer_port_first}", DataCentreId(""))
        for host in hosts
    )


def _serve(server: wsgi.Server) -> None:
    try:
        server.serve()
    except Exception:
        _LOGGER.exception("node: unhandled error in an HTTP server; ending the process")
        os._exit(1)


def serve(
    check: Annotated[bool, typer.Option(help="Check the settings file and end.")] = False,
) -> None:
    """Start the node with the settings file that the environment names.

    Exit codes: 0 done; 2 the settings hold faults, all of which are named.
    """
    if check:
        try:
            settings = load_node_settings()
        except SettingsError as err:
            typer.echo(str(err), err=True)
            raise typer.Exit(2) from err
        typer.echo(f"{settings.entry_id}: settings are good")
        return
    logs = set_up_bounded_logs(PROGRAM, os.environ.get("TOUCANDOOR_LOG_LEVEL", "INFO"))
    try:
        settings = load_node_settings()
    except SettingsError as err:
        _LOGGER.error("node: not started, as loading the settings failed: %s", err)
        logs.flush_and_stop(LOG_FLUSH_TIMEOUT_S)
        raise SystemExit(2) from err
    Node(settings).serve()
    logs.flush_and_stop(LOG_FLUSH_TIMEOUT_S)
    os._exit(0)


def main() -> None:
    """Run the program."""
    typer.run(serve)


if __name__ == "__main__":
    main()
