"""Names of the platform's HTTP headers."""

ATTEMPT_ID = b"X-Fireflyspur-Attempt-Id"
DEADLINE_MS = b"X-Fireflyspur-Deadline-Ms"
TOKEN_COUNT = b"X-Fireflyspur-Token-Count"
LAST_EVENT_ID = b"Last-Event-Id"
AUTHORIZATION = b"Authorization"
# Vouches for an answer.
RESPONSE_SEAL = b"X-Fireflyspur-Response-Seal"
# Names the client account; the endpoint never sees the key.
TENANT = b"X-Fireflyspur-Tenant"
EXPECT_INSTANCE = b"X-Fireflyspur-Expect-Instance"
INSTANCE_ID = b"X-Fireflyspur-Instance-Id"
NOT_EXECUTED = b"X-Fireflyspur-Not-Executed"
PRIORITY = b"X-Fireflyspur-Request-Priority"
HELPERS = b"X-Fireflyspur-Helpers"
CONTENT_ENCODING = b"Content-Encoding"
# Names the worker at fault, when a group can't serve.
AT_SERVER = b"At-Server"
