"""Authentication of client accounts by their API keys."""

import dataclasses
import hashlib

from fireflyspur.admission import exceptions
from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs

_SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account and the spec in its record."""

    name: str
    spec: records.AccountSpec


class Authenticator:
    """Looks up accounts by the SHA-256 digests of their keys.

    :param catalog: the current records
    """

    def __init__(self, catalog: catalogs.Catalog) -> None:
        self._catalog = catalog
        self._accounts_by_digest: dict[str, Account] = {}
        self._indexed_offset = -1

    def authenticate(self, authorization: str) -> Account:
        """Return the account whose key is in an Authorization header.

        :param authorization: value of the header
        :raises UnauthorizedError: if the key is missing or unknown
        """
        if not authorization.startswith(_SCHEME):
            raise exceptions.UnauthorizedError(
                "expected the header Authorization: Bearer KEY"
            )
        self._update_index()
        key = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = self._accounts_by_digest.get(digest)
        if account is None:
            raise exceptions.UnauthorizedError("no account has this key")
        return account

    def _update_index(self) -> None:
        if self._indexed_offset == self._catalog.offset:
            return
        accounts = self._catalog.specs(records.AccountSpec)
        self._accounts_by_digest = {
            digest: Account(name, spec)
            for name, spec in accounts.items()
            for digest in spec.key_sha256
        }
        self._indexed_offset = self._catalog.offset
