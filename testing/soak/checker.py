"""Judges what callers were told by what endpoints ran. Each finding is one line.

    findings = check(callers.calls, platform.endpoints, ids_that_others_sent)
"""

import collections

from userplatform import EVENTS, events_in

NOT_RUN = (408, 421, 429, 503)  # our word that a call has not run and never will


def check(calls, endpoints, others=()):
    runs = collections.defaultdict(list)
    by_name = {endpoint.name: endpoint for endpoint in endpoints}
    for endpoint in endpoints:
        for run in list(endpoint.seen):
            runs[run["id"]].append((endpoint, run))
    findings = []
    known = {call.id for call in calls} | set(others)
    findings += [f"{each}: run, and no caller sent it" for each in runs if each not in known]
    for call in calls:
        findings += [f"{call.id} ({call.kind}): {what}" for what in judge(call, runs[call.id], by_name)]
        findings += [f"{call.id} ({call.kind}): {what}" for what in judge_versions(call, by_name)]
    return findings


def judge_versions(call, by_name):
    """A stream holds events of one software version only, in one answer or over its caller's tries."""
    body = call.body
    while call.resumes:
        call = call.resumes
        body = call.body + body
    versions = [getattr(by_name.get(name), "version", None) for _, name in events_in(body)]
    if len(set(versions)) > 1:
        yield f"events of several versions: {versions}"


def judge(call, runs, by_name):
    if call.kind in ("unsafe", "stream") and len(runs) > 1:
        yield f"run {len(runs)} times, allowed once"
    if call.kind != "safe" and call.status in NOT_RUN and runs:
        yield f"told {call.status}, and it ran"
    for _, run in runs:
        if not run["path"].endswith(call.id) or (run["body"] and run["body"] != b"body " + call.id.encode()):
            yield "run with another path or body"
    stamp = call.headers.get("x-server-stamp", "")
    if call.status == 200:
        yield from judge_success(call, runs, stamp, by_name)
    elif stamp and call.status != 500:
        yield f"answer {call.status} with the stamp of an endpoint"


def judge_success(call, runs, stamp, by_name):
    name = stamp.rsplit(".", 1)[0]
    if call.headers.get("x-request-id") != call.id:
        yield "the answer of another call"
    if name not in by_name or not any(endpoint.name == name for endpoint, _ in runs):
        yield f"answered with a stamp that no run of it gave: {stamp!r}"
    if call.kind in ("unsafe", "safe"):
        if call.is_whole and call.body != b"answer of " + name.encode():
            yield f"a body that looks whole and is not: {call.body!r}"
        return
    events = [number for number, _ in events_in(call.body)]
    before = call.resumes.last_event() if call.resumes else 0
    if events != list(range(before + 1, before + len(events) + 1)):
        yield f"events {events} after {before}"
    if call.is_whole and before + len(events) != EVENTS:
        yield f"looks whole with {len(events)} of {EVENTS} events after {before}"
