"""The files that the platform uses: the settings template, the build and the deploy file.

Names of the platform's protocol may occur only in the adapter ``savoryarch/platform``, so that
another platform needs another adapter only.
"""

import re
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
def test_only_the_adapter_contains_platform_names(path):
    assert PLATFORM_NAMES.findall((ROOT / path).read_text()) == []
