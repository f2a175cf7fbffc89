"""Opens the addresses for callers and operators; imported only if one of them is served."""

from typing import Any

from savoryarch.api import AccessPolicy, make_operator_app, make_tls_options
from savoryarch.entry._caller_front import make_caller_app
from savoryarch.entry._caller_site import CallerSite
from savoryarch.entry._instance import EntryInstance
from savoryarch.settings import CallersSettings, OperatorsSettings


def make_caller_site(instance: EntryInstance, reactor: Any) -> CallerSite:
    """Make the HTTP server that accepts searches and routes from callers."""
    return CallerSite(make_caller_app(instance).resource(), reactor, instance.count_refusal)


def listen_callers(settings: CallersSettings, site: CallerSite, reactor: Any) -> Any:
    """Open the address for callers; returns the listening port."""
    return reactor.listenTCP(settings.port, site, interface=settings.host)


def listen_operators(settings: OperatorsSettings, instance: EntryInstance, reactor: Any) -> Any:
    """Open the address for operators; returns the listening port.

    The address uses TLS if the settings name a certificate.
    """
    access = AccessPolicy(settings.read_token_hashes, settings.write_token_hashes)
    app = make_operator_app(instance, access)
    site = CallerSite(app.resource(), reactor, instance.count_refusal)
    if not settings.tls_certificate_file:
        return reactor.listenTCP(settings.port, site, interface=settings.host)
    options = make_tls_options(settings.tls_certificate_file, settings.tls_key_file)
    return reactor.listenSSL(settings.port, site, options, interface=settings.host)
