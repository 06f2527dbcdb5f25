"""Seconds until a withdrawn key is refused everywhere, and requests honoured after the answer."""

from __future__ import annotations

import signal
import threading
import time
from typing import Final

import urllib3

from toucandoor.measures._control_fleet import ControlFleet, key_secret
from toucandoor.measures.result import Figures, MeasureResult

DATA_CENTRES: Final = ["dc-1", "dc-1", "dc-2"]
WITHDRAWALS: Final = 4
EFFECTIVE_MAX_S: Final = 5.0
OBSERVED_S: Final = 7.0


def run(seed: int) -> MeasureResult:
    """Withdraw keys under load, the last one with a frozen controller; the seed is unused.

    The baseline answers a withdrawal without a wait until it is in force everywhere.
    """
    product = _measure("15")
    baseline = _measure("0")
    worst_s = product["stops_worst_s"]
    return MeasureResult(
        measure="key_withdrawal",
        seed=seed,
        parameters={
            "entry_vms": len(DATA_CENTRES),
            "withdrawals": WITHDRAWALS,
            "with_a_frozen_controller": 1,
        },
        product=product,
        baseline=baseline,
        bound={"stops_max_s": EFFECTIVE_MAX_S, "honoured_after_answer_max": 0},
        holds=isinstance(worst_s, float)
        and worst_s <= EFFECTIVE_MAX_S
        and product["honoured_after_answer"] == 0,
    )


def _measure(accept_wait_s: str) -> Figures:
    settings = {"controller": {"accept_wait_s": accept_wait_s}}
    stops_s, answers_s, honoured_after_answer, sent = [], [], 0, 0
    with ControlFleet(DATA_CENTRES, keys=WITHDRAWALS, settings=settings) as fleet:
        time.sleep(2.0)
        for number in range(WITHDRAWALS):
            frozen = number == WITHDRAWALS - 1
            traffic = _KeyTraffic(fleet, key_secret(number))
            traffic.start()
            process = fleet.deployment.processes["entry-3.controller"]
            if frozen:
                process.send_signal(signal.SIGSTOP)
            started_s = time.monotonic()
            fleet.deployment.run_command("key", "withdraw", f"k-{number}", "--json")
            answered_s = time.monotonic()
            time.sleep(max(0.0, OBSERVED_S - (answered_s - started_s)))
            process.send_signal(signal.SIGCONT)
            honoured_s = traffic.stop()
            stops_s.append(max([*honoured_s, started_s]) - started_s)
            answers_s.append(answered_s - started_s)
            honoured_after_answer += sum(at_s > answered_s for at_s in honoured_s)
            sent += traffic.sent
    return {
        "requests": sent,
        "stops_worst_s": round(max(stops_s), 3),
        "answered_worst_s": round(max(answers_s), 3),
        "honoured_after_answer": honoured_after_answer,
    }


class _KeyTraffic:
    """One caller for each entry that sends requests with a key until stopped."""

    def __init__(self, fleet: ControlFleet, key: str) -> None:
        self._fleet = fleet
        self._key = key
        self._stopping = threading.Event()
        self._honoured_s: list[float] = []
        self.sent = 0
        self._threads = [
            threading.Thread(target=self._send_requests, args=(entry,), daemon=True)
            for entry in range(len(DATA_CENTRES))
        ]

    def start(self) -> None:
        for thread in self._threads:
            thread.start()
        time.sleep(0.5)

    def stop(self) -> list[float]:
        """Stop the callers; return the times at which honoured requests were sent."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()
        return self._honoured_s

    def _send_requests(self, entry: int) -> None:
        headers = {"Toucandoor-Deadline-S": "2"}
        while not self._stopping.is_set():
            sent_s = time.monotonic()
            self.sent += 1
            try:
                answer = self._fleet.deployment.request(
                    "q", b"{}", key=self._key, entry=entry, headers=headers
                )
            except urllib3.exceptions.HTTPError:
                continue
            if answer.status == 200:
                self._honoured_s.append(sent_s)
            time.sleep(0.01)
