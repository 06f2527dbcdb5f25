"""Types that several messages of the platform share."""

from __future__ import annotations

import msgspec

from toucandoor.core.jobs.models import Resources


class WireResources(msgspec.Struct, frozen=True):
    """Resources in the platform's messages.

    Attributes:
        cpu: Thousandths of a processor core.
        mem_mb: Memory in MB.
        gpu: Number of accelerators.
    """

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    @property
    def resources(self) -> Resources:
        """The same amounts as `Resources`."""
        return Resources(self.cpu, self.mem_mb, self.gpu)
