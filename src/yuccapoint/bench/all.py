"""Imports all benchmarks, which register themselves."""

from __future__ import annotations

import yuccapoint.bench.batch  # noqa: F401
import yuccapoint.bench.capacity  # noqa: F401
import yuccapoint.bench.config  # noqa: F401
import yuccapoint.bench.interference  # noqa: F401
import yuccapoint.bench.membership  # noqa: F401
import yuccapoint.bench.recovery  # noqa: F401
import yuccapoint.bench.requests  # noqa: F401
