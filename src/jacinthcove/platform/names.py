"""Header names, paths and store kinds of the users' platform."""

# Headers of requests and responses.
ATTEMPT_ID = "X-Attempt-Id"
TIME_LEFT_MS = "X-Deadline-Ms"
# Parts of the prompt (cacheable blocks of its prefix) in order, as ID:TOKENS entries.
PROMPT_PARTS = "X-Prompt-Prefix"
# Prompt tokens and maximum output tokens, separated by a comma.
TOKEN_COUNTS = "X-Token-Count"
MODEL = "X-Model"
LAST_EVENT_ID = "Last-Event-Id"
# Signature of a target over its response.
SIGNATURE = "X-Response-Seal"
WORKSPACE = "X-Tenant"
EXPECTED_TARGET = "X-Expect-Instance"
EXPECTED_VERSION = "X-Expect-Version"
# ip:port of a target from which the receiver copies the KV cache of shared prompt parts.
FETCH_KV_CACHE_FROM = "Kv-Fetch"
NOT_RUN = "X-Not-Executed"
RETRY_AFTER = "Retry-After"
KEEP_ALIVE = "Keep-Alive"
# Response header of a target that is about to stop.
LEAVING = "Server-Leaving"
LEAVING_YES = "1"
# Response header of a target: the requests per second that it takes from all routers together.
REQUESTS_PER_S = "Server-Limit"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"

# Headers that callers must not send to targets: the router drops them and sets some itself.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        TIME_LEFT_MS,
        WORKSPACE,
        EXPECTED_TARGET,
        EXPECTED_VERSION,
        LAST_EVENT_ID,
        AUTHORIZATION,
        "X-Hold",
        "X-Pin-Ms",
        "X-Kv-Backup",
        "Kv-From",
        FETCH_KV_CACHE_FROM,
    )
)

# Paths that a router serves.
READY_PATH = "/-/ready"
DIRECTORY_PATH = "/-/resolve"
# Query parameter of DIRECTORY_PATH: the failure domain of the caller.
DIRECTORY_DOMAIN = "zone"

# Path of a target's report about itself.
REPORT_PATH = "/-/report"

# Paths and kinds of the store.
OBJECTS_PATH = "/-/objects/"
CONFIG_KIND = "config"
TARGETS_KIND = "servers"
DRAINED_DOMAINS_KIND = "evacuations"
ROLLOUTS_KIND = "rollouts"
STATUS_PATH = "/status"
# Response header of the store: rises each time that it comes back from an older copy.
STORE_ERA = "Store-Era"
# Kinds that the router itself defines.
ROUTERS_KIND = "jacinthcove-routers"
SECRETS_KIND = "jacinthcove-secrets"
QUARANTINE_KIND = "jacinthcove-quarantine"
DUTIES_KIND = "jacinthcove-duties"

# Calls of the router that holds the duties, and their headers.
USAGE_PATH = "/usage"
SCALE_PATH = "/scale"
DUTY_HOLDER = "X-Duty-Holder"
FENCING_TOKEN = "X-Fence-Token"
