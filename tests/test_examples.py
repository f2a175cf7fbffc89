"""The example deployments are valid and have the documented numbers of services and targets."""

from pathlib import Path

import pytest

from savoryarch.cli import Console, ExitCode, main
from savoryarch.resources import parse_resources

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("deployment", "sizes"),
    [
        (
            "bertolini",
            {
                "balcao": (10, 3, 2, 25),
                "notas": (15, 3, 2, 25),
                "pedidos": (1, 4, 4, 110),
                "expedicao": (1, 3, 4, 110),
            },
        ),
        (
            "swan-coast",
            {
                "mechanic-desk": (10, 3, 5, 40),
                "rider-portal": (15, 3, 5, 40),
                "claims-office": (1, 10, 4, 40),
                "depot-roster": (1, 5, 4, 40),
            },
        ),
    ],
)
def test_examples_have_the_deployed_sizes(deployment, sizes):
    folder = EXAMPLES / deployment
    console = Console(write=lambda text: None)
    files = [str(folder / "settings.ini"), str(folder / "resources.ini")]
    assert main(["check", *files], console) == ExitCode.OK
    declarations, _ = parse_resources((folder / "resources.ini").read_text(), "resources.ini")
    actual_sizes = {}
    for declaration in declarations:
        if declaration.places.get("targets"):
            service = declaration.resource
            group = service.group or service.name
            count = actual_sizes.get(group, (0,))[0] + 1
            size = (len(service.targets), service.slots, service.connection_limit)
            actual_sizes[group] = (count, *size)
    assert actual_sizes == sizes
