"""Builds the program under ``target`` without disturbing processes that start meanwhile.

Each build has folders of its own, named after what it was made from. They are complete before the
links ``target/app`` and ``target/deps`` name them, and the folders of earlier builds stay for
processes that have begun to load them. A build that exists already is not made again.
"""

import hashlib
import os
import platform
import shutil
import subprocess
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
BUILDS = TARGET / "builds"
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
PROGRAM_FILES = (ROOT / "deploy" / "main.py", ROOT / "deploy" / "class_code.py")
PACKAGE = ROOT / "savoryarch"
KEPT_BUILDS = 4  # of the program, and of its dependencies
# A folder of this age cannot belong to a build that goes on, or to a process that still starts.
MIN_REMOVED_AGE_S = 3600.0


def main() -> None:
    """Build the dependencies and the program, and let the links name them."""
    BUILDS.mkdir(parents=True, exist_ok=True)
    dependencies = _provide("deps", [REQUIREMENTS], _install_dependencies)
    _set_link(TARGET / "deps", dependencies)
    sources = sorted(path for path in PACKAGE.rglob("*") if path.suffix in (".py", ".ini"))
    program = _provide(
        "app",
        [*sources, *PROGRAM_FILES, REQUIREMENTS],
        lambda folder: _make_program(folder, dependencies),
    )
    _set_link(TARGET / "app", program)
    _remove_old_builds({dependencies, program})


def _provide(name: str, sources: list[Path], make: Callable[[Path], None]) -> Path:
    """Return the folder that is made from the sources, after making it if it does not exist."""
    digest = hashlib.sha256(f"{sys.version} {platform.machine()}".encode())
    for path in sources:
        digest.update(f"{path.relative_to(ROOT)}\n".encode())
        digest.update(path.read_bytes())
    built = BUILDS / f"{name}-{digest.hexdigest()[:16]}"
    if built.exists():
        return built
    unfinished = BUILDS / f"unfinished-{name}-{os.getpid()}"
    shutil.rmtree(unfinished, ignore_errors=True)
    unfinished.mkdir()
    make(unfinished)
    try:
        unfinished.rename(built)
    except OSError:
        if not built.exists():
            raise
        shutil.rmtree(unfinished)  # another build has made the same at the same time
    return built


def _install_dependencies(folder: Path) -> None:
    command = ["-m", "pip", "install", "-q", "--no-deps", "--target", str(folder)]
    _run_python([*command, "-r", str(REQUIREMENTS)])


def _make_program(folder: Path, dependencies: Path) -> None:
    shutil.copytree(PACKAGE, folder / PACKAGE.name, ignore=shutil.ignore_patterns("__pycache__"))
    for path in PROGRAM_FILES:
        shutil.copy2(path, folder)
    _run_python(["-S", str(folder / "main.py"), "store-class-code"], dependencies)
    _run_python(["-m", "compileall", "-q", str(folder)])


def _run_python(arguments: list[str], *library_folders: Path) -> None:
    paths = [*map(str, library_folders), os.environ.get("PYTHONPATH", "")]
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(filter(None, paths))}
    subprocess.run([sys.executable, *arguments], check=True, cwd=ROOT, env=environment)


def _set_link(link: Path, folder: Path) -> None:
    """Let a link name a folder; processes see either the earlier folder or this one."""
    if link.is_dir() and not link.is_symlink():
        link.rename(BUILDS / f"replaced-{link.name}-{os.getpid()}")
    new_link = TARGET / f".{link.name}-{os.getpid()}"
    new_link.unlink(missing_ok=True)
    new_link.symlink_to(folder.relative_to(TARGET))
    new_link.replace(link)


def _remove_old_builds(used: set[Path]) -> None:
    """Remove all but the newest builds, and what builds that were interrupted have left."""
    folders: list[tuple[float, Path]] = []
    for folder in BUILDS.iterdir():
        with suppress(FileNotFoundError):  # another build renames or removes folders meanwhile
            folders.append((folder.stat().st_mtime, folder))
    folders.sort(reverse=True)
    newest_s = folders[0][0]
    counts: dict[str, int] = {}
    for modified_s, folder in folders:
        name = folder.name.partition("-")[0]
        counts[name] = counts.get(name, 0) + 1
        old = newest_s - modified_s > MIN_REMOVED_AGE_S
        if folder not in used and old and counts[name] > KEPT_BUILDS * (name in ("app", "deps")):
            shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
