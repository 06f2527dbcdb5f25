"""Demo: starts the whole system on loopback; run it by script/demo."""

from __future__ import annotations

import argparse
import signal
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from toucandoor.measures._deployment import OPERATOR_SECRET, LocalDeployment

EXAMPLE = Path(__file__).resolve().parent.parent / "examples" / "whistleline"
DATA_CENTRES = ["brisbane", "cairns"]


def _secret(team: str) -> str:
    return f"demo-secret-of-{team}"


def _example_requests() -> list[tuple[str, str, str | None, str, bytes]]:
    work = b'{"run_s": 0.2, "result": "roster built"}'
    watch = b'{"run_s": 1.0, "result": "availability watched"}'
    return [
        ("metro-rosters", "metro-clubs", _secret("metro-clubs"), "urgent", work),
        ("north-rosters", "north-clubs", _secret("north-clubs"), "urgent", work),
        ("coast-rosters", "referees", _secret("referees"), "patient", watch),
        ("west-rosters", "competition-desk", _secret("competition-desk"), "patient", watch),
        ("notices", "(no key)", None, "patient", work),
        ("metro-rosters", "(wrong key)", "not-a-key", "urgent", work),
        ("no-such-queue", "metro-clubs", _secret("metro-clubs"), "urgent", work),
    ]


def _send_requests(deployment: LocalDeployment) -> int:
    expected = [200, 200, 200, 200, 200, 401, 404]

    def send(numbered: tuple[int, tuple[str, str, str | None, str, bytes]]) -> tuple[int, str]:
        number, (queue, team, key, request_class, body) = numbered
        started_s = time.monotonic()
        answer = deployment.request(
            queue, body, key=key, entry=number % 2, headers={"Toucandoor-Class": request_class}
        )
        taken_s = time.monotonic() - started_s
        text = answer.data.decode()[:100]
        return (
            answer.status,
            f"{request_class:8} {queue:14} {team:17} {answer.status} {taken_s:.2f} s {text}",
        )

    with ThreadPoolExecutor(8) as pool:
        results = list(pool.map(send, enumerate(_example_requests())))
    for _, line in results:
        print(line)
    statuses = [status for status, _ in results]
    answered = sum(status == 200 for status in statuses)
    print(f"{answered} answered, {len(statuses) - answered} refused as they should be")
    return 0 if statuses == expected else 1


def _print_usage_and_wait(deployment: LocalDeployment) -> int:
    vm = deployment.entry_vms[0]
    print(f"""
Send a request:
  curl -s http://{vm.caller_address}/v1/queues/metro-rosters/requests \\
    -H 'Authorization: Bearer {_secret("metro-clubs")}' -H 'Toucandoor-Class: urgent' \\
    -d '{{"run_s": 0.5, "result": "roster built"}}'
Operate it:
  export TOUCANDOOR_CONTROLLER_ADDRESS={vm.link_address}
  export TOUCANDOOR_OPERATOR_SECRET={OPERATOR_SECRET}
  script/toucandoor status
Metrics: http://{vm.entry_ops_address}/metrics
Stop with Ctrl-C.""")
    try:
        signal.sigwait({signal.SIGINT, signal.SIGTERM})
    except KeyboardInterrupt:
        return 0
    return 0


def main() -> int:
    """Start the system, apply the example configuration, and send requests or wait."""
    parser = argparse.ArgumentParser(description="Runs the whole system on loopback.")
    parser.add_argument("--once", action="store_true", help="send a few requests and stop")
    arguments = parser.parse_args()
    if not arguments.once:
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM})
    with LocalDeployment(EXAMPLE, DATA_CENTRES) as deployment:
        applied = deployment.run_command("apply", str(EXAMPLE))
        print(f"apply {EXAMPLE.name}: {applied.stdout or applied.stderr}".strip())
        deployment.wait_ready()
        return _send_requests(deployment) if arguments.once else _print_usage_and_wait(deployment)


if __name__ == "__main__":
    sys.exit(main())
