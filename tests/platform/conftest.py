import base64
import json

import aiohttp.test_utils
import platform_standin
import pytest

from peridothatch_platform import settings

CONFIG = {
    "version": 3,
    "routes": [
        {"name": "q", "host": "a.example", "prefix": "/jobs/", "service": "render", "slo_ms": 500,
         "priority": 1, "max_attempts": 2, "slack_factor": 2.0, "no_auth": False},
        {"name": "open", "host": "a.example", "prefix": "/open/", "service": "render",
         "slo_ms": 500, "priority": 2, "max_attempts": 2, "slack_factor": 2.0, "no_auth": True},
    ],
    "services": [{"name": "render", "enforce_limits": True}],
    "limits": {"max_body_bytes": 262144},
    "tenants": [{"name": "ministry", "api_keys": ["k1"], "guaranteed": {"gpu": 8}}],
}  # fmt: skip


@pytest.fixture
async def store():
    standin = platform_standin.Store()
    value = base64.b64encode(json.dumps(CONFIG).encode()).decode()
    standin.put("op", "", "config", value)
    server = aiohttp.test_utils.TestServer(standin.application())
    await server.start_server()
    standin.address = settings.Address("127.0.0.1", server.port)
    yield standin
    await server.close()


@pytest.fixture
async def worker():
    standin = platform_standin.Worker()
    server = aiohttp.test_utils.TestServer(standin.application())
    await server.start_server()
    standin.address = settings.Address("127.0.0.1", server.port)
    yield standin
    await server.close()
