"""Names of the platform's HTTP headers."""

ATTEMPT_ID = b"X-Fireflyspur-Attempt-Id"
DEADLINE_MS = b"X-Fireflyspur-Deadline-Ms"
TOKEN_COUNT = b"X-Fireflyspur-Token-Count"
PROMPT_PREFIX = b"X-Fireflyspur-Prompt-Prefix"
LAST_EVENT_ID = b"Last-Event-Id"
AUTHORIZATION = b"Authorization"
# Proves that the endpoint itself sent the response.
RESPONSE_SEAL = b"X-Fireflyspur-Response-Seal"
# Name of the client account; the API key is not sent to the endpoint.
TENANT = b"X-Fireflyspur-Tenant"
EXPECT_INSTANCE = b"X-Fireflyspur-Expect-Instance"
EXPECT_VERSION = b"X-Fireflyspur-Expect-Version"
INSTANCE_ID = b"X-Fireflyspur-Instance-Id"
NOT_EXECUTED = b"X-Fireflyspur-Not-Executed"
PRIORITY = b"X-Fireflyspur-Request-Priority"
HELPERS = b"X-Fireflyspur-Helpers"
CONTENT_ENCODING = b"Content-Encoding"
# Requests a second that the server takes from all nodes together.
SERVER_LIMIT = b"Server-Limit"
# A server that is about to end says so in all its responses.
SERVER_LEAVING = b"Server-Leaving"
RETRY_AFTER = b"Retry-After"
# Counts how often the store came back from an older copy of its data.
STORE_ERA = b"Store-Era"
# Identifies the server that made the request to a group of servers fail.
AT_SERVER = b"At-Server"
