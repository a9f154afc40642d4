"""What tests of requests that crash endpoints begin with: endpoints that crash under them, and callers.

    class MyTest(CrashTest):
        def test_something(self):
            gateways = self.start_linked(3)
            self.ask(gateways[0], "/write/1", DEADLY)
            self.assertLessEqual(self.crashes(), MOST_CRASHES)
"""

import http.client

from gatewayprocess import SIZE, send
from platformtest import PlatformTest
from userplatform import route

ROUTES = [route("/book/", "unsafe", "booking"), route("/look/", "safe", "booking", max_attempts=3),
          route("/write/", "stream", "llm"), route("/resume/", "stream", "llm", max_attempts=4, resumable=True)]
DEADLY = b"deadly"
MOST_CRASHES = 3  # under one request
DEADLY_PART = "dead"
PAUSE_SECONDS = 0.3  # between two tries, so that what one of them showed has reached every host


class CrashTest(PlatformTest):
    def setUp(self):
        super().setUp()
        self.plain = [self.platform.endpoint("booking") for _ in range(6)]
        self.readers = [self.platform.endpoint("llm", "prefill")]
        self.writers = [self.platform.endpoint("llm", "decode") for _ in range(6)]
        for endpoint in self.plain + self.writers:
            endpoint.crashes_on = self.is_deadly
        self.platform.configure(ROUTES)

    @staticmethod
    def is_deadly(request, body):
        parts = [part.split(":")[0] for part in request.headers.get("X-Prompt-Prefix", "").split(",")]
        return body == DEADLY or request.path.endswith("deadly") or DEADLY_PART in parts[:-1]

    def crashes(self):
        return sum(endpoint.crashes for endpoint in self.platform.endpoints)

    @staticmethod
    def ask(gateway, path, body=b"sound", parts="aa:200,bb:800"):
        """The status of the whole answer, or 0 where it breaks off."""
        method = "GET" if path.startswith("/look/") else "POST"
        try:
            return send(gateway.callers, method, path, None if method == "GET" else body, X_Prompt_Prefix=parts, **SIZE)[0]
        except (http.client.HTTPException, ConnectionError):
            return 0
