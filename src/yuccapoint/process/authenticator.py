"""Authentication of callers and operators by bearer token."""

from __future__ import annotations

import configparser
import hmac
import pathlib
from typing import TYPE_CHECKING

from yuccapoint.exceptions import SettingsError
from yuccapoint.request.exceptions import AccessRefusedError

if TYPE_CHECKING:
    from tornado.httputil import HTTPHeaders

BEARER_PREFIX = "Bearer "
ANONYMOUS = "anybody"


class Authenticator:
    """Maps bearer tokens to customers and operators.

    The file has sections ``callers`` and ``operators`` with lines
    ``name = token``. Without a file, authentication is disabled.

    Parameters
    ----------
    path : str
        Path of the tokens file; empty for none.
    """

    def __init__(self, path: str) -> None:
        self._disabled = not path
        self._path = path
        self._modified_ns = 0
        self._callers: dict[str, str] = {}
        self._operators: dict[str, str] = {}
        self.reload()

    def reload(self) -> bool:
        """Reload the file if it changed; return whether it did.

        Raises
        ------
        SettingsError
            The file is unreadable or invalid; the previous tokens stay
            valid.
        """
        if self._disabled:
            return False
        try:
            modified_ns = pathlib.Path(self._path).stat().st_mtime_ns
        except OSError as error:
            raise SettingsError(f"can't read {self._path}: {error}") from None
        if modified_ns == self._modified_ns:
            return False
        self._load(self._path)
        self._modified_ns = modified_ns
        return True

    def authenticate_customer(
        self, headers: HTTPHeaders, customer_header: str
    ) -> str:
        """Return the customer that a caller's token belongs to.

        Raises
        ------
        AccessRefusedError
            The token is missing or unknown, or names another customer.
        """
        claimed = str(headers.get(customer_header, ""))
        if self._disabled:
            return claimed or ANONYMOUS
        matched = _match_token(self._callers, headers)
        if not matched or (claimed and claimed != matched):
            raise AccessRefusedError("the credentials were refused")
        return matched

    def authenticate_operator(self, headers: HTTPHeaders) -> str:
        """Return the operator that a token belongs to.

        Raises
        ------
        AccessRefusedError
            The token is missing or unknown.
        """
        if self._disabled:
            return str(headers.get("Yuccapoint-Operator", "")) or ANONYMOUS
        matched = _match_token(self._operators, headers)
        if not matched:
            raise AccessRefusedError("the credentials were refused")
        return matched

    def _load(self, path: str) -> None:
        parser = configparser.ConfigParser(interpolation=None)
        parser.optionxform = str  # type: ignore[assignment,method-assign]
        try:
            parser.read_string(pathlib.Path(path).read_text("utf-8"))
        except (OSError, UnicodeDecodeError, configparser.Error) as error:
            text = str(error).splitlines()[0]
            raise SettingsError(f"can't read {path}: {text}") from None
        for section in parser.sections():
            if section not in ("callers", "operators"):
                raise SettingsError(f"{path}: unknown section [{section}]")
        self._callers = _section_items(parser, "callers")
        self._operators = _section_items(parser, "operators")


def _section_items(
    parser: configparser.ConfigParser, name: str
) -> dict[str, str]:
    return dict(parser[name]) if parser.has_section(name) else {}


def _match_token(names: dict[str, str], headers: HTTPHeaders) -> str:
    header = str(headers.get("Authorization", ""))
    if not header.startswith(BEARER_PREFIX):
        return ""
    token = header[len(BEARER_PREFIX) :].encode()
    matched = ""
    for name, expected in names.items():
        if hmac.compare_digest(token, expected.encode()):
            matched = name
    return matched
