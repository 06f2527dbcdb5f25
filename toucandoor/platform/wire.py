"""Shapes that several of the platform's messages share."""

from __future__ import annotations

import msgspec

from toucandoor.core.jobs.models import Resources


class WireResources(msgspec.Struct, frozen=True):
    """An amount of processor (thousandths of a core), memory and accelerators."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0

    @property
    def resources(self) -> Resources:
        """The same as the project's type."""
        return Resources(self.cpu, self.mem_mb, self.gpu)
