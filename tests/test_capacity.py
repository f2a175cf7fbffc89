import pytest

from savoryarch_bench.capacity import (
    CAPACITY_PAGE,
    MAX_CONTROL_BYTES_PER_S,
    MAX_CONTROL_CORE_PERCENT,
    MAX_CONTROL_MB,
    DeploymentSize,
    control_rows,
    read_slopes,
    render_tables,
    write_tables,
)

TEXT = CAPACITY_PAGE.read_text(encoding="utf-8")


def test_tables_of_the_page_follow_from_its_slopes():
    tables = render_tables(DeploymentSize(), read_slopes(TEXT))
    assert write_tables(TEXT, tables) == TEXT, "run make capacity ARGS=--write"
    assert all(table in TEXT for table in tables.values())


@pytest.mark.parametrize(
    ("field", "bound"),
    [
        ("core_percent", MAX_CONTROL_CORE_PERCENT),
        ("memory_mb", MAX_CONTROL_MB),
        ("bytes_per_s", MAX_CONTROL_BYTES_PER_S),
    ],
)
def test_control_stays_within_the_bounds_of_the_users(field, bound):
    rows = control_rows(DeploymentSize(), read_slopes(TEXT))
    assert sum(getattr(row, field) for row in rows) <= bound
