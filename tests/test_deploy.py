"""The files that the platform uses: the settings template, the build and the deploy file.

Names of the platform's protocol may occur only in the adapter ``savoryarch/platform``, so that
another platform needs another adapter only.
"""

import os
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from savoryarch.settings import parse_settings

ROOT = Path(__file__).parent.parent
DEPLOY = ROOT / "deploy"
TEMPLATE_FIELDS = {
    "node-name": "front-a-1",
    "zone": "zone-a",
    "ip": "10.1.0.39",
    "internal-ports": [7740, 7755],
    "listen": {"front": "10.1.0.39:8226", "ready": "10.1.0.39:8227"},
    "platform": {"address": "10.200.1.7:8229"},
    "bounds": {"grace-s": 6, "budget-ratio": 0.2, "budget-window-s": 10, "retry-extra": 58},
}
PLATFORM_NAMES = re.compile(
    r"kv-(txn|range|watch|key|keep|lease)|[Nn]ot-[Ee]xecuted|[Rr]esponse-[Ss]tamp|Part-Stamps"
    r"|Missing-Parts|op/config|slo-ms|(?<!x-)[Dd]eadline-[Mm]s:|[Ee]xpect-[Ii]nstance|min-coverage"
    r"|[Ss]erver-[Ll]eaving|[Ss]erver-[Ll]oad"
)


def find_field(path):
    value = TEMPLATE_FIELDS
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)]
        elif isinstance(value, dict):
            value = value.get(name)
    return value


def render_template(text):
    """Render a template with the fields, in the subset of the syntax that the template uses."""

    def render_section(match):
        return match[2] if find_field(match[1]) is not None else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", render_section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: str(find_field(match[1])), text)


def test_the_rendered_settings_have_no_findings():
    settings, findings = parse_settings(
        render_template((DEPLOY / "settings.ini").read_text()), "boot"
    )
    assert findings == ()
    assert settings.forwarding.extra_requests == 58.0
    assert settings.forwarding.extra_window_ms == 10_000.0
    assert settings.shutdown.shutdown_deadline_ms == 6000.0
    assert settings.front.address == "10.1.0.39:8226"


@pytest.mark.parametrize("name", ["budget-ratio", "budget-window-s", "retry-extra"])
def test_omitted_bounds_have_defaults(name, monkeypatch):
    monkeypatch.setitem(TEMPLATE_FIELDS, "bounds", {**TEMPLATE_FIELDS["bounds"], name: None})
    assert parse_settings(render_template((DEPLOY / "settings.ini").read_text()), "boot")[1] == ()


def test_the_build_installs_versions_that_are_tested():
    tested_requirements = set((ROOT / "requirements.txt").read_text().split())
    deployed_requirements = set((DEPLOY / "requirements.txt").read_text().split())
    assert deployed_requirements < tested_requirements
    omitted = {
        line.partition("==")[0].lower() for line in tested_requirements - deployed_requirements
    }
    assert omitted == {"cryptography", "pyopenssl", "service-identity"}


def test_the_deploy_file_refers_to_existing_files():
    role = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["entry"]
    assert (ROOT / role["template"]).is_file()
    program, *options = role["run"].split()
    # Without the module `site`, whose start-up files are those of the machine and not of the build.
    assert (program, options[:2]) == ("python3", ["-S", "target/app/main.py"])


@pytest.mark.parametrize(
    ("arguments", "exit_code", "output"),
    [
        (["store-class-code"], 0, ""),
        (["serve", "--settings", "missing.ini"], 1, "cannot be read"),
        (["serve"], 2, "serve --settings FILE"),
        ([], 2, "serve --settings FILE"),
    ],
)
def test_the_entry_point_on_the_platform_runs_its_commands(tmp_path, arguments, exit_code, output):
    for name in ("main.py", "class_code.py"):
        shutil.copy(DEPLOY / name, tmp_path)
    process = subprocess.run(
        [sys.executable, str(tmp_path / "main.py"), *arguments],
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60.0,
    )
    assert (process.returncode, output in process.stderr) == (exit_code, True), process.stderr


@pytest.mark.parametrize(
    ("stored", "compiles"),
    [("", True), ("store-class-code", False), ("another version", True), ("other sources", True)],
)
def test_stored_code_of_data_classes_saves_their_compilation(tmp_path, stored, compiles):
    """A file of another version of Python, or of other sources, is not used."""
    shutil.copy(DEPLOY / "class_code.py", tmp_path)
    program = (
        "import class_code; from dataclasses import dataclass; from sys import argv\n"
        "compiled = class_code.use_stored_code()\n"
        "@dataclass(frozen=True, slots=True)\n"
        "class Point:\n    x: int\n    y: int = 2\n"
        "assert Point(1) == Point(1, 2) and hash(Point(1)) == hash(Point(1, 2))\n"
        "if argv[1:]: class_code.store_code(compiled)\n"
        "print(bool(compiled))\n"
    )

    def run(text, *arguments):
        command = [sys.executable, "-c", text, *arguments]
        done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=30.0)
        assert done.returncode == 0, done.stderr
        return done.stdout.strip()

    if stored:
        run(program.replace("y: int", "z: int") if stored == "other sources" else program, "store")
    if stored == "another version":
        path = tmp_path / "class_code.bin"
        path.write_bytes(b"\0" + path.read_bytes())
    assert run(program) == str(compiles)


@pytest.mark.parametrize(
    "path",
    sorted(
        path.relative_to(ROOT)
        for path in (ROOT / "savoryarch").rglob("*.py")
        if "tests" not in path.parts and "platform" not in path.parts
    ),
    ids=str,
)
def test_only_the_adapter_contains_platform_names(path):
    assert PLATFORM_NAMES.findall((ROOT / path).read_text()) == []
