"""What the platform starts: the settings template, the build, and where wire names stand."""

import re
import tomllib
from pathlib import Path

import pytest

from savoryarch.settings import parse_settings

ROOT = Path(__file__).parent.parent
DEPLOY = ROOT / "deploy"
FIELDS = {
    "node-name": "front-a-1",
    "zone": "zone-a",
    "ip": "10.1.0.39",
    "internal-ports": [7740, 7755],
    "listen": {"front": "10.1.0.39:8226", "ready": "10.1.0.39:8227"},
    "platform": {"address": "10.200.1.7:8229"},
    "bounds": {"grace-s": 6, "budget-ratio": 0.2, "budget-window-s": 10, "retry-extra": 58},
}
WIRE_NAMES = re.compile(
    r"kv-(txn|range|watch|key|keep|lease)|[Nn]ot-[Ee]xecuted|[Rr]esponse-[Ss]tamp|Part-Stamps"
    r"|Missing-Parts|op/config|slo-ms|(?<!x-)[Dd]eadline-[Mm]s:|[Ee]xpect-[Ii]nstance|min-coverage"
)


def look_up(path):
    value = FIELDS
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)]
        elif isinstance(value, dict):
            value = value.get(name)
    return value


def render(text):
    """Render a template as the platform does, as far as this project's uses it."""

    def section(found):
        return found[2] if look_up(found[1]) is not None else ""

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.DOTALL)
    return re.sub(r"\{\{([^}]+)\}\}", lambda found: str(look_up(found[1])), text)


def test_the_rendered_settings_have_no_findings():
    settings, findings = parse_settings(render((DEPLOY / "settings.ini").read_text()), "boot")
    assert findings == ()
    assert settings.forwarding.extra_requests == 58.0
    assert settings.forwarding.extra_window_ms == 10_000.0
    assert settings.shutdown.shutdown_deadline_ms == 6000.0
    assert settings.front.address == "10.1.0.39:8226"


@pytest.mark.parametrize("name", ["budget-ratio", "budget-window-s", "retry-extra"])
def test_bounds_that_are_not_given_have_defaults(name, monkeypatch):
    monkeypatch.setitem(FIELDS, "bounds", {**FIELDS["bounds"], name: None})
    assert parse_settings(render((DEPLOY / "settings.ini").read_text()), "boot")[1] == ()


def test_the_build_installs_versions_that_are_tested():
    tested = set((ROOT / "requirements.txt").read_text().split())
    deployed = set((DEPLOY / "requirements.txt").read_text().split())
    assert deployed < tested
    left_out = {line.partition("==")[0].lower() for line in tested - deployed}
    assert left_out == {"cryptography", "pyopenssl", "service-identity"}


def test_the_deploy_file_names_what_exists():
    role = tomllib.loads((DEPLOY / "system.toml").read_text())["roles"]["entry"]
    assert (ROOT / role["template"]).is_file()
    assert role["run"].split()[1].startswith("target/app/main.py")


@pytest.mark.parametrize(
    "path",
    sorted(
        path.relative_to(ROOT)
        for path in (ROOT / "savoryarch").rglob("*.py")
        if "tests" not in path.parts and "platform" not in path.parts
    ),
    ids=str,
)
def test_names_of_the_wire_stand_in_the_adapter_only(path):
    assert WIRE_NAMES.findall((ROOT / path).read_text()) == []
