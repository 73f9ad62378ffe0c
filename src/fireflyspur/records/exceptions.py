"""Errors of the publication of records."""

from fireflyspur.errors import exceptions


class InvalidRecordError(exceptions.InvalidInputError):
    """A record that does not pass its schema."""

    code = "invalid_record"


class RecordBeatenError(exceptions.FireflyspurError):
    """Another record is in force instead of the published one."""

    code = "record_beaten"
    http_status = 409


class PublicationUnknownError(exceptions.FireflyspurError):
    """The log did not say whether the record was appended."""

    code = "publication_unknown"
    http_status = 503
