"""Build the single binary and check that it starts no child process."""

from __future__ import annotations

import importlib.metadata
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = pathlib.Path(__file__).parent.parent
BINARY = ROOT / "dist" / "yuccapoint"
UNPACK_ROOT = "/run/yuccapoint"
START_TIMEOUT_S = 60.0


def build() -> None:
    """Build ``dist/yuccapoint`` from the installed packages."""
    BINARY.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as site:
        _copy_distributions(pathlib.Path(site))
        subprocess.run(
            [
                sys.executable,
                "-m",
                "shiv",
                "--site-packages",
                site,
                "--console-script",
                "yuccapoint",
                "--root",
                UNPACK_ROOT,
                "--output-file",
                str(BINARY),
                "--reproducible",
                "--no-deps",
                str(ROOT),
            ],
            check=True,
            stdout=subprocess.DEVNULL,
        )


def smoke_test() -> None:
    """Run the help, the settings checks and an entry of the binary."""
    with tempfile.TemporaryDirectory(prefix="yuccapoint-") as root:
        environment = dict(os.environ, SHIV_ROOT=root)
        _run(environment, "--help")
        for example in sorted((ROOT / "examples").iterdir()):
            files = sorted(str(path) for path in example.iterdir())
            _run(environment, "check", *files)
        _run_entry(environment, pathlib.Path(root))
    print(f"binary: {BINARY.stat().st_size} bytes, starts no process")


def _copy_distributions(site: pathlib.Path) -> None:
    for distribution in _required_distributions():
        for file in distribution.files or []:
            if file.parts[0] == ".." or "__pycache__" in file.parts:
                continue
            target = site / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(str(file.locate()), target)


def _required_distributions() -> list[importlib.metadata.Distribution]:
    """Return the installed distributions that the program requires."""
    needed = list(importlib.metadata.requires("yuccapoint") or [])
    found: dict[str, importlib.metadata.Distribution] = {}
    while needed:
        requirement = Requirement(needed.pop())
        marker = requirement.marker
        if marker is not None and not marker.evaluate({"extra": ""}):
            continue
        name = canonicalize_name(requirement.name)
        if name in found:
            continue
        found[name] = importlib.metadata.distribution(name)
        needed.extend(found[name].requires or [])
    return list(found.values())


def _run(environment: dict[str, str], *arguments: str) -> None:
    subprocess.run(
        [str(BINARY), *arguments],
        check=True,
        env=environment,
        stdout=subprocess.DEVNULL,
    )


def _run_entry(environment: dict[str, str], root: pathlib.Path) -> None:
    settings = root / "entry.ini"
    settings.write_text(
        "[process]\nname = smoke\ndata_centre = a\nregion = b\n"
        "[listen]\ncaller_address = 127.0.0.1:0\n"
        "operator_address = 127.0.0.1:0\n"
        "control_address = 127.0.0.1:0\n"
        "[log]\naddress = 127.0.0.1:1\n[entries]\nseeds =\n",
        "utf-8",
    )
    process = subprocess.Popen(
        [str(BINARY), "entry", str(settings)],
        env=environment,
        stderr=subprocess.PIPE,
    )
    try:
        assert process.stderr is not None
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while b"started" not in process.stderr.readline():
            if time.monotonic() > deadline_s:
                raise SystemExit("binary: the entry did not start")
        children = _child_pids(process.pid)
        if children:
            raise SystemExit(
                f"binary: the entry started child processes {children}"
            )
    finally:
        process.terminate()
        process.wait()


def _child_pids(pid: int) -> list[str]:
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if fields[1] == str(pid):
            found.append(path.parent.name)
    return found


if __name__ == "__main__":
    build()
    smoke_test()
