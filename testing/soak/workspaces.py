"""The workspaces of a soak: their keys, which are replaced now and then, and a quota; and the judge of what ran.

    workspaces = Workspaces()
    platform.configure(routes, workspaces.rows())
    key = workspaces.key_for(chance)                 # of a call
    revoked = workspaces.replace_key()               # then configure again, and:
    workspaces.on_acknowledged(revoked)
    findings = workspaces.check(callers.calls, platform.endpoints)
"""

import collections
import dataclasses
import threading
import time

from userplatform import workspace

REVOKE_SECONDS = 3.0
RATE, BURST, SLACK, OVERSHOOT, WINDOW_SECONDS = 8, 8, 20, 0.1, 2.0
SETTINGS = (f"[keys]\nrevoke_ms = {REVOKE_SECONDS * 1000:.0f}\nstrict = yes\n"
            f"[quotas]\nwindow_s = {WINDOW_SECONDS}\novershoot = {OVERSHOOT}\nslack = {SLACK}\n")
STEADY, LIMITED, ROTATED = "steady", "limited", "rotated"
NEVER_HELD = "key-of-nobody"
NEVER_HELD_SHARE, REVOKED_SHARE = 0.05, 0.1  # of the calls


@dataclasses.dataclass
class Key:
    text: str
    workspace: str
    revoked_at: float = None  # when the store had acknowledged it, in seconds of the monotonic clock


class Workspaces:
    def __init__(self):
        self.lock = threading.Lock()
        self.keys = {name: [Key(f"key-of-{name}-0", name)] for name in (STEADY, LIMITED, ROTATED)}

    def rows(self):
        with self.lock:
            limits = {LIMITED: {"rate_per_s": RATE, "burst": BURST}}
            return [workspace(name, keys[-1].text, **limits.get(name, {})) for name, keys in self.keys.items()]

    @property
    def steady_key(self):
        return self.keys[STEADY][0].text

    def key_for(self, chance):
        drawn = chance.random()
        with self.lock:
            keys = self.keys[chance.choice((STEADY, LIMITED, ROTATED))]
            if drawn < NEVER_HELD_SHARE:
                return NEVER_HELD
            return (chance.choice(keys) if drawn < NEVER_HELD_SHARE + REVOKED_SHARE else keys[-1]).text

    def replace_key(self):
        """The key that is revoked once the configuration with the next one is in the store."""
        with self.lock:
            keys = self.keys[ROTATED]
            keys.append(Key(f"key-of-{ROTATED}-{len(keys)}", ROTATED))
            return keys[-2]

    @staticmethod
    def on_acknowledged(key):
        key.revoked_at = time.monotonic()

    def check(self, calls, endpoints):
        """Each finding is a line."""
        by_text = {key.text: key for keys in self.keys.values() for key in keys}
        by_id = {call.id: call for call in calls}
        runs = [run for endpoint in endpoints for run in list(endpoint.seen) if run["id"] in by_id]
        findings = []
        for run in runs:
            call = by_id[run["id"]]
            findings += [f"{call.id} ({call.kind}, {call.key}): {what}" for what in judge(call, by_text.get(call.key), run)]
        steady = {keys[0].text for keys in self.keys.values() if keys[0].revoked_at is None and len(keys) == 1}
        findings += [f"{call.id}: refused as unknown, and its key was valid all the while" for call in calls
                     if call.status == 401 and call.key in steady]
        return findings + judge_quota(runs)


def judge(call, key, run):
    if run["headers"].get("Authorization"):
        yield "its key reached an endpoint"
    if key is None:
        yield "run, and no configuration held its key"
    elif run["headers"].get("X-Tenant") != key.workspace:
        yield f"run in the name of {run['headers'].get('X-Tenant')}"
    elif key.revoked_at is not None and call.at > key.revoked_at + REVOKE_SECONDS:
        yield f"run, and sent {call.at - key.revoked_at:.2f} s after its key was revoked"


def judge_quota(runs):
    limit = (RATE * WINDOW_SECONDS + BURST) * (1 + OVERSHOOT) + SLACK
    window = collections.deque()
    for at, name in sorted({(run["at"], run["id"]) for run in runs if run["headers"].get("X-Tenant") == LIMITED}):
        window.append(at)
        while at - window[0] > WINDOW_SECONDS:
            window.popleft()
        if len(window) > limit:
            return [f"{name}: the {len(window)}th call of a workspace within {WINDOW_SECONDS} s, allowed {limit:.1f}"]
    return []
