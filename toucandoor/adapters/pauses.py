"""Pauses between the tries of calls that fail at many nodes at once."""

from __future__ import annotations

import random


def jittered_s(pause_s: float) -> float:
    """Return a random pause of this mean, by up to half of it shorter or longer.

    An outage of the store ends the calls of all nodes at the same moment. With equal pauses, they
    would all try again at the same moments, also when the store is back.
    """
    return pause_s * random.uniform(0.5, 1.5)
