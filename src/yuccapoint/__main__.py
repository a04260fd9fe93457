"""Run the program as ``python -m yuccapoint``."""

from __future__ import annotations

from yuccapoint.console.application import main

if __name__ == "__main__":
    main()
