"""A settings file is loaded with its defaults, or rejected with all of its errors.

Guards against an error that is not reported because another one precedes it, and against an address
that other machines reach without credentials.
"""

import pytest

from savoryarch.exceptions import FindingsError
from savoryarch.settings import LogLevel, load_settings, parse_settings

INSTANCE = "[instance]\ninstance_id = entry-1\navailability_zone = zone-a\n"


@pytest.mark.parametrize(
    ("text", "read", "value"),
    [
        (INSTANCE, lambda item: item.instance.instance_id, "entry-1"),
        (INSTANCE, lambda item: (item.callers.host, item.callers.port), ("127.0.0.1", 8080)),
        (INSTANCE, lambda item: item.platform.store_url, ""),
        (
            INSTANCE + "[platform]\nstore_url = http://10.0.0.9:7000",
            lambda item: item.platform.store_url,
            "http://10.0.0.9:7000",
        ),
        (INSTANCE + "[log]\nlevel = debug", lambda item: item.log.level, LogLevel.DEBUG),
        (INSTANCE + "[configuration]\nwatchers = 3", lambda item: item.configuration.watchers, 3),
    ],
)
def test_settings_have_given_and_default_values(text, read, value):
    settings, findings = parse_settings(text, "i.ini")
    assert not findings
    assert read(settings) == value


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        (
            "[log]",
            [
                "i.ini instance: key 'availability_zone' is missing: availability zone that it "
                "runs in",
                "i.ini instance: key 'instance_id' is missing: name of this instance, unique "
                "among live ones",
            ],
        ),
        (
            INSTANCE + "[operaters]\n[callers]\nhost = localhost\nprt = 1\n",
            [
                "i.ini:4 operaters: section [operaters] is unknown; did you mean 'operators'?",
                "i.ini:6 callers.host: got 'localhost', expected an IP number such as "
                "'127.0.0.1'",
                "i.ini:7 callers.prt: key 'prt' is unknown; did you mean 'port'?",
            ],
        ),
        (
            INSTANCE + "[operators]\nhost = 10.0.0.1\n[peers]\nhost = 10.0.0.1",
            [
                "i.ini:5 operators.host: got 10.0.0.1, which is not on loopback; expected "
                "tls_certificate_file, tls_key_file, write_token_hashes as well",
                "i.ini:7 peers.host: got 10.0.0.1, which is not on loopback; expected "
                "tls_certificate_file, tls_authority_file as well",
            ],
        ),
        (
            INSTANCE + "[operators]\ntls_key_file = absent.pem\nread_token_hashes = secret",
            [
                "i.ini:6 operators.read_token_hashes: got 'secret', expected words such as "
                "\"the token_hash that 'savoryarch token' writes\"",
            ],
        ),
        (
            INSTANCE + "[operators]\ntls_key_file = absent.pem",
            [
                "i.ini:5 operators.tls_key_file: expected tls_certificate_file as well",
                "i.ini:5 operators.tls_key_file: file 'absent.pem' does not exist",
            ],
        ),
        ("instance_id = x", ["i.ini:1: got an entry, expected a '[section]' first"]),
    ],
)
def test_all_findings_are_reported_together(text, findings):
    settings, found = parse_settings(text, "i.ini")
    assert settings is None
    assert [str(item) for item in sorted(found)] == findings


def test_a_file_that_cannot_be_read_raises(tmp_path):
    with pytest.raises(FindingsError, match="cannot be read"):
        load_settings(tmp_path / "absent.ini")
