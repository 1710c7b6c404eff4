"""Configuration of a small deployment, and requests of its clients."""

from .engine import Engine
from .wire import format_head

__all__ = ["BENCH", "LEDGER", "make_configuration", "make_entry", "make_request"]

LOOPBACK = "127.0.0.1"
HOST = "reels.example"
KEY = "key-of-the-bench"

BENCH, LEDGER = "bench", "ledger"
"""Services: model servers, and an application."""


def make_configuration(*, limit_ms: int = 10_000) -> dict:
    """Return the only configuration: a route for streams and one for lookups."""
    common = {
        "hostname": HOST,
        "priority": 2,
        "max_attempts": 1,
        "public": False,
    }
    tell = {
        "name": "tell",
        "prefix": "/tell/",
        "route_type": "streaming",
        "service": BENCH,
        "timeout_ms": limit_ms,
        "target_latency_ms": 2000,
        "target_gap_ms": 1000,
        "sticky": True,
        "resumable": False,
    }
    look = {
        "name": "look",
        "prefix": "/look/",
        "route_type": "safe",
        "service": LEDGER,
        "timeout_ms": 3000,
        "target_latency_ms": 300,
    }
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 642417,
        "kv_bytes": 327680,
        "link_mbps": 550000.0,
        "stride": 4,
        "models": [{"name": "m"}],
    }
    return {
        "version": 3,
        "routes": [common | tell, common | look],
        "services": [
            {
                "name": BENCH,
                "health_path": "/healthz",
                "max_connections": 370,
                "engine": engine,
            },
            {"name": LEDGER, "health_path": "/healthz", "max_connections": 110},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "bench", "api_keys": [KEY]}],
    }


def make_entry(engine: Engine, service: str) -> dict:
    """Return the entry with which a server of a service registers itself."""
    return {
        "service": service,
        "address": f"{LOOPBACK}:{engine.port}",
        "zone": "kyushu-a",
        "version": "v1",
        "slots": 64 if service == BENCH else 6,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": 1,
    }


def name_hash(name: str) -> str:
    """Return the id of a request's own prompt, in hexadecimal."""
    return name.encode().hex()


def make_request(method: str, path: str, name: str, limit_ms: int) -> bytes:
    """Return a client's request; a POST is one for a model server."""
    headers = {
        "Host": HOST,
        "Zinniaramp-Request-Id": name,
        "Zinniaramp-Deadline-Ms": str(limit_ms),
        "Authorization": f"Bearer {KEY}",
    }
    body = b""
    if method == "POST":
        body = f"{name:x<400}".encode()
        headers["Content-Length"] = str(len(body))
        headers["Zinniaramp-Model"] = "m"
        headers["Zinniaramp-Token-Usage"] = "17020,120"
        headers["Zinniaramp-Prefix-Hash"] = f"{name_hash(name)}:17020"
    return format_head(f"{method} {path} HTTP/1.1", headers) + body
