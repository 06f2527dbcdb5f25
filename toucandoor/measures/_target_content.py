"""Cost of one change's content for a node, at the target fleet size."""

from __future__ import annotations

import time
import tracemalloc
from typing import Final

from toucandoor.core.configuration.head import HeadRecord, join_parts, split_parts
from toucandoor.core.configuration.models import Configuration
from toucandoor.core.leases.models import EntrySlot
from toucandoor.ids import DataCentreId, EntryId, OperationId
from toucandoor.messages import ConfigurationPush, encode

WORKERS: Final = 2000
POOLS: Final = 35
TEAMS: Final = 65
DATA_CENTRES: Final = 6
ENTRY_VMS: Final = 48
KEYS_PER_TEAM: Final = 4
_REPEATS: Final = 5


def target_configuration() -> Configuration:
    """Return a configuration of the target fleet size."""
    keys = {f"key-{n}": {"sha256": "a" * 64} for n in range(KEYS_PER_TEAM)}
    vms = {
        f"vm-{n:04}": {
            "pool": f"pool-{n % POOLS}",
            "data_centre": f"dc-{n % DATA_CENTRES}",
            "rack": f"rack-{n // 4}",
            "address": f"10.{n // 250}.{n % 250}.1:8080",
        }
        for n in range(WORKERS)
    }
    return Configuration.model_validate(
        {
            "data_centres": {f"dc-{n}": {"region": f"r-{n % 3}"} for n in range(DATA_CENTRES)},
            "pools": {f"pool-{n}": {"unavailable_max": 3} for n in range(POOLS)},
            "queues": {f"queue-{n}": {"pool": f"pool-{n}"} for n in range(POOLS)},
            "teams": {f"team-{n}": {"ceiling_running": 40, "keys": keys} for n in range(TEAMS)},
            "vms": vms,
        }
    )


def content_costs() -> dict[str, float]:
    """Return sizes (bytes) and processor times (seconds) of one change's content, by name."""
    configuration = target_configuration()
    head = HeadRecord()
    for number in range(ENTRY_VMS):
        data_centre = DataCentreId(f"dc-{number % DATA_CENTRES}")
        slot = EntrySlot(EntryId(f"entry-{number}"), data_centre, f"10.0.0.{number}:7000")
        head = head.with_slot(slot, in_force_everywhere=True) or head
    for number in range(64):
        head = head.with_content(number, configuration, OperationId(f"{number:032}"))
    parts = split_parts(configuration)
    started_s = time.process_time()
    for _ in range(_REPEATS):
        join_parts(parts)
    join_s = (time.process_time() - started_s) / _REPEATS
    started_s = time.process_time()
    for _ in range(_REPEATS):
        frame = encode(ConfigurationPush(1, configuration.model_dump(mode="json")))
    push_s = (time.process_time() - started_s) / _REPEATS
    return {
        "head_bytes": float(len(head.to_json())),
        "content_bytes": float(sum(len(text) for text in parts.values())),
        "team_part_bytes": float(len(parts["teams/team-1"])),
        "vms_part_bytes": float(
            max(len(text) for name, text in parts.items() if name[:4] == "vms/")
        ),
        "push_bytes": float(len(frame)),
        "memory_bytes": _memory_bytes(parts),
        "join_s": join_s,
        "push_s": push_s,
    }


def _memory_bytes(parts: dict[str, str]) -> float:
    """Return the memory of a configuration and its parts' texts, as a controller keeps them."""
    tracemalloc.start()
    # New strings, because only memory allocated from here on is counted.
    kept = ({name: text[:1] + text[1:] for name, text in parts.items()}, join_parts(parts))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return float(size)
