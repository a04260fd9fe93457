"""Exit codes of the commands, listed by each ``--help``."""

from __future__ import annotations

OK = 0
REFUSED = 1
USAGE = 2
UNREACHABLE = 3
OUTCOME_UNKNOWN = 4
UNFINISHED_WORK = 5

HELP = (
    "Exit codes: 0 done, 1 refused or bad input, 2 wrong options, "
    "3 entry unreachable, 4 outcome unknown, 5 stopped with unfinished work."
)
