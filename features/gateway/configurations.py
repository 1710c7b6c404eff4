"""Configurations that the operator's stand-in publishes."""

from features.gateway.exchanges import API_KEY, HOSTNAME

CLIENT_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 1_000_000,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def route(name, kind, *, service="plain", attempts=1, timeout_ms=5000, **fields):
    """Return a route whose path prefix is its name."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": attempts,
        **fields,
    }


def configuration(version=7, *, routes=None, keys=(API_KEY,), **fields):
    """Return a configuration with the routes that most scenarios use."""
    return {
        "version": version,
        "routes": routes
        or [
            route("read", "safe", attempts=2),
            route("book", "unsafe"),
            route("tell", "streaming", target_gap_ms=400),
            route(
                "resume",
                "streaming",
                attempts=2,
                resumable=True,
                target_latency_ms=0,
            ),
            route("open", "safe", public=True),
            route("brief", "safe", timeout_ms=300),
            route("once", "unsafe", attempts=3),
            route("gaps", "streaming", attempts=2, resumable=True, target_gap_ms=50),
            route("ask", "streaming", service="model", priority=0, sticky=True),
            route("sum", "streaming", service="model", priority=2, sticky=True),
            route("talk", "streaming", service="model", attempts=2, resumable=True),
        ],
        "services": [
            {"name": "plain", "health_path": "/healthz"},
            {
                "name": "model",
                "health_path": "/healthz",
                "engine": {"slots": 4, "kv_capacity_tokens": 60_000},
            },
        ],
        "limits": CLIENT_LIMITS,
        "tenants": [{"name": "workshop", "api_keys": list(keys)}],
        **fields,
    }
