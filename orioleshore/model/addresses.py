"""Addresses "IP:port" or "[IPv6]:port", checked where they are received."""

import ipaddress
from typing import NamedTuple

from orioleshore.model import decoding
from orioleshore.model import numbers

MAX_PORT = 65_535


class Address(NamedTuple):
    """IP address and port."""

    host: str
    port: int


def parse_address(text: str) -> Address:
    """Return the address of another process, whose port is at least 1.

    Raises DecodingError if the host part is not an IP address, or has a scope,
    which is an interface of one host and means nothing on others.
    """
    address = parse_listening_address(text)
    if not address.port:
        raise decoding.DecodingError('0 is not a port of a process')
    if '%' in address.host:
        raise decoding.DecodingError(f'{address.host!r} has a scope')
    return address


def parse_listening_address(text: str) -> Address:
    """Return an address to listen on; port 0 lets the kernel choose.

    Raises DecodingError if the host part is not an IP address.
    """
    host, _, port = text.rpartition(':')
    number = numbers.parse_count(port)
    if number is None or number > MAX_PORT:
        raise decoding.DecodingError(f'{port[:20]!r} is not a port')
    try:
        ip_address = ipaddress.ip_address(host.strip('[]'))
    except ValueError as error:
        raise decoding.make_error(error) from error
    return Address(str(ip_address), number)


def is_address(text: str) -> bool:
    """Return whether a text is the address of another process."""
    try:
        parse_address(text)
    except decoding.DecodingError:
        return False
    return True
