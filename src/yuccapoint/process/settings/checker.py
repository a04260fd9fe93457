"""Validation of settings files and tables files."""

from __future__ import annotations

import pathlib

import msgspec

from yuccapoint.decoding import decode_json
from yuccapoint.exceptions import DecodingError
from yuccapoint.exceptions import SettingsError
from yuccapoint.process.settings.loader import load_agent_settings
from yuccapoint.process.settings.loader import load_entry_settings
from yuccapoint.version.checks import check_pool
from yuccapoint.version.checks import check_route
from yuccapoint.version.pool import Pool
from yuccapoint.version.route import Route
from yuccapoint.version.table_row import TableRow


class TablesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """JSON file with the initial routes and pools."""

    routes: list[Route]
    pools: list[Pool]


def load_tables(path: str) -> TablesFile:
    """Load a tables file.

    Raises
    ------
    SettingsError
        The file is unreadable or has invalid rows.
    """
    try:
        data = pathlib.Path(path).read_bytes()
        tables = decode_json(data, TablesFile)
    except (OSError, DecodingError) as error:
        raise SettingsError(str(error)) from None
    faults = _row_faults(tables)
    if faults:
        raise SettingsError("\n".join(faults))
    return tables


def check_files(paths: list[str]) -> list[str]:
    """Return all faults of all files, each with its file name."""
    faults = []
    for path in paths:
        try:
            _check_file(path)
        except SettingsError as error:
            for line in str(error).splitlines():
                faults.append(f"{path}: {line}")
    return faults


def _check_file(path: str) -> None:
    if path.endswith(".json"):
        load_tables(path)
        return
    try:
        text = pathlib.Path(path).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read the file: {error}") from None
    if "[worker]" in text or "announce_address" in text:
        load_agent_settings(path)
        return
    load_entry_settings(path)


def _row_faults(tables: TablesFile) -> list[str]:
    pools = {p.name: TableRow(p, 1, "") for p in tables.pools}
    faults = []
    for pool in tables.pools:
        fault = check_pool(pool.name, pool, {})
        if fault:
            faults.append(f"pool {pool.name}: {fault}")
    for route in tables.routes:
        fault = check_route(route, pools)
        if fault:
            faults.append(f"route {route.name}: {fault}")
    return faults
