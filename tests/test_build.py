"""The build of the deploy file, in a copy of the checkout without libraries to install."""

import os
import runpy
import shutil
import subprocess
import sysconfig
import tomllib
from pathlib import Path
from threading import Event

import pytest

ROOT = Path(__file__).parent.parent
COMMAND = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
CHANGED_MODULE = "savoryarch/utils/_heap.py"
PROGRAM_FILES = ("main.py", "class_code.bin", CHANGED_MODULE)
BUILD_TIMEOUT_S = 120.0


@pytest.fixture
def checkout(tmp_path):
    """A copy of the files that are built."""
    ignored = shutil.ignore_patterns("__pycache__", "tests")
    for name in ("savoryarch", "deploy"):
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    (tmp_path / "deploy" / "requirements.txt").write_text("")
    return tmp_path


def begin_build(checkout):
    # The interpreter of the tests comes first, and its libraries take the place of installed ones.
    interpreter = Path(sysconfig.get_path("scripts"))
    environment = os.environ | {
        "PATH": f"{interpreter}{os.pathsep}{os.environ['PATH']}",
        "PYTHONPATH": sysconfig.get_path("purelib"),
    }
    return subprocess.Popen(COMMAND, shell=True, cwd=checkout, env=environment)


def finish_build(build):
    assert build.wait(BUILD_TIMEOUT_S) == 0


@pytest.mark.parametrize("builds_at_once", [1, 2])
def test_a_build_leaves_the_program_in_place_for_processes_that_start(checkout, builds_at_once):
    """Guards against processes that end at their start because a build removes their modules."""
    finish_build(begin_build(checkout))
    program = checkout / "target" / "app"
    first = {name: (program / name).read_bytes() for name in PROGRAM_FILES}
    with (checkout / CHANGED_MODULE).open("a") as module:
        module.write("\nADDED = True\n")
    builds = [begin_build(checkout) for _ in range(builds_at_once)]
    while any(build.poll() is None for build in builds):
        seen = program.resolve()  # as a process that starts does
        assert all((seen / name).exists() for name in PROGRAM_FILES)
        Event().wait(0.002)
    for build in builds:
        finish_build(build)
    assert (program / CHANGED_MODULE).read_bytes() != first[CHANGED_MODULE]
    assert (program / "main.py").read_bytes() == first["main.py"]


def test_a_build_of_unchanged_sources_changes_nothing(checkout):
    finish_build(begin_build(checkout))
    program = (checkout / "target" / "app").resolve()
    built_at_ns = (program / "main.py").stat().st_mtime_ns
    finish_build(begin_build(checkout))
    assert (checkout / "target" / "app").resolve() == program
    assert (program / "main.py").stat().st_mtime_ns == built_at_ns


def test_a_build_succeeds_while_another_one_renames_its_folders(tmp_path, monkeypatch):
    """Guards against a build that fails because a folder it has listed is gone."""
    build = runpy.run_path(str(ROOT / "deploy" / "build.py"))
    monkeypatch.setitem(build["_remove_old_builds"].__globals__, "BUILDS", tmp_path)
    used = tmp_path / "app-1"
    used.mkdir()
    (tmp_path / "unfinished-app-2").symlink_to(tmp_path / "renamed")
    build["_remove_old_builds"]({used})
    assert used.exists()


def test_a_build_replaces_folders_of_earlier_programs(checkout):
    """A folder that an earlier build command made takes no part in the new program."""
    for name in ("app", "deps"):
        (checkout / "target" / name).mkdir(parents=True)
    (checkout / "target" / "app" / "main.py").write_text("raise SystemExit(1)")
    finish_build(begin_build(checkout))
    assert (checkout / "target" / "app").is_symlink()
    assert (checkout / "target" / "app" / "class_code.bin").exists()
