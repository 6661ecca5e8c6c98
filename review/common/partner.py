"""A partner system that comes back cold after an outage, by the figures of the settings (BRIEF-umberhoist.md, "Limits
that bind", and STANDING.md): it serves so many calls a second when warm, starts at `start_capacity` of that, and is warm
after `cold_s`. More calls and probes within `fall_s` than

    N + 2 * sqrt(N) + 2   (N under 30: N + 3 * sqrt(N) + 3),   N = fall_multiple * present capacity * fall_s

push it over. The present capacity is taken at the end of the window, where it is highest, and `fall_s` is 50 ms longer.
"""
import asyncio
import math

from rig import now


class Partner:
    def __init__(self, record, capacity, workers, queue, obligations):
        self.record, self.capacity, self.workers, self.queue = record, capacity, workers, queue
        self.rules = obligations
        self.returned = None  # when its outage ended
        self.hung = False
        self.places = asyncio.Semaphore(workers)
        self.waiting = 0
        self.load = []  # (time, relay) of calls and probes since the return
        self.informed = set()  # relays that saw a call or probe fail during the outage: they gave it up
        self.fallen = None
        self.peak = (0.0, 0, 0.0)  # the highest load over what is allowed: share, calls, allowed
        self.served = self.refused = 0

    def share(self):
        if self.returned is None:
            return 1.0
        start, cold = self.rules["start_capacity"], self.rules["cold_s"]
        return min(1.0, start + (1 - start) * (now() - self.returned) / cold)

    def weigh(self, relay):
        if self.returned is None or now() - self.returned > self.rules["cold_s"]:
            return
        at, span = now(), self.rules["fall_s"]
        self.load.append((at, relay))
        window = [entry for entry in self.load if entry[0] > at - span]
        n = self.rules["fall_multiple"] * self.share() * self.capacity * (span + 0.05)
        allowed = n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3
        self.peak = max(self.peak, (len(window) / allowed, len(window), allowed))
        if len(window) > allowed and self.fallen is None:
            by_informed = sum(1 for _, relay in window if relay in self.informed)
            self.fallen = (at - self.returned, len(window), allowed, by_informed)
            self.record("the partner falls: %d calls and probes in %.1f s, %.2f s after its return, allowed are %.1f; "
                        "%d of them by relays that had seen its outage"
                        % (len(window), span, at - self.returned, allowed, by_informed))

    async def call(self, relay):
        """Returns a host's decision on a call. While it hangs, a call is read, never runs and gets no answer."""
        if self.hung:
            return None
        self.weigh(relay)
        if self.fallen or self.waiting >= self.queue:
            self.refused += 1
            return 503, {}, False
        self.waiting += 1
        try:
            await self.places.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(self.workers / self.capacity / self.share())
        finally:
            self.places.release()
        self.served += 1
        return 200, {}, False

    def on_given_up(self, relay):
        """The relay has closed the connection of a call or probe that got no answer."""
        if self.hung:
            self.informed.add(relay)

    async def probe(self, relay):
        if self.hung:
            return None
        self.weigh(relay)
        return (503 if self.fallen else 200), {}, False

    def breaches(self):
        """Rule 4: broken if two thirds of the load came from relays that had seen the outage."""
        self.record("the highest load after the return: %d calls and probes where %.1f are allowed; served %d, refused %d"
                    % (self.peak[1], self.peak[2], self.served, self.refused))
        if self.fallen is None:
            return []
        after, calls, allowed, by_informed = self.fallen
        if 3 * by_informed < 2 * calls:
            return []
        return ["rule 4: the partner was pushed over %.2f s after its return: %d calls and probes within %.1f s, allowed "
                "are %.1f, and %d of them came from relays that had seen it fail during the outage"
                % (after, calls, self.rules["fall_s"], allowed, by_informed)]
