"""Errors raised when a record is published."""

from fireflyspur.errors import exceptions


class InvalidRecordError(exceptions.InvalidInputError):
    """A record that does not pass its schema."""

    code = "invalid_record"


class RecordSupersededError(exceptions.FireflyspurError):
    """Another record is in force instead of the published record."""

    code = "record_beaten"
    http_status = 409


class PublicationUnknownError(exceptions.FireflyspurError):
    """It is unknown whether the log appended the record."""

    code = "publication_unknown"
    http_status = 503
