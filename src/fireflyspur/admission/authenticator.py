"""Finding of the client account behind an API key."""

import dataclasses
import hashlib

from fireflyspur.admission import exceptions
from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs

_SCHEME = "Bearer "


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account with its record's content."""

    name: str
    spec: records.AccountSpec


class Authenticator:
    """Looks up accounts by the digest of their keys.

    :param catalog: the records in force
    """

    def __init__(self, catalog: catalogs.Catalog) -> None:
        self._catalog = catalog
        self._by_digest: dict[str, Account] = {}
        self._indexed_offset = -1

    def authenticate(self, authorization: str) -> Account:
        """Return the account that an Authorization header names.

        :param authorization: value of the header
        :raises UnauthorizedError: if there is no key or no account has it
        """
        if not authorization.startswith(_SCHEME):
            raise exceptions.UnauthorizedError(
                "expected the header Authorization: Bearer KEY"
            )
        self._index()
        key = authorization[len(_SCHEME) :].strip()
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = self._by_digest.get(digest)
        if account is None:
            raise exceptions.UnauthorizedError("no account has this key")
        return account

    def _index(self) -> None:
        if self._indexed_offset == self._catalog.offset:
            return
        accounts = self._catalog.specs(records.AccountSpec)
        self._by_digest = {
            digest: Account(name, spec)
            for name, spec in accounts.items()
            for digest in spec.key_sha256
        }
        self._indexed_offset = self._catalog.offset
