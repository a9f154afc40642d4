#include "testing/streamworld.h"

#include <algorithm>
#include <fmt/format.h>

// The engine writes a fragment each 50 ms, keeps them after the end, and is cancelled only for the entry that last read
// the stream. Faults strike what entries do (attach, each of the first lines, cancel) and what owners do (remove). A
// dead or frozen entry leaves the live ones five seconds later, and a dead owner is replaced seven seconds later, as
// membership does it. The caller reconnects at the next entry after three seconds of silence, with the fragments that
// it has.

namespace fescuesill
{
namespace
{

const RequestId request("r1");
const EngineId engine("d1");
const StreamId stream("s1");
constexpr Duration fragmentTime = 50ms;
constexpr Duration detection = 5s;
constexpr Duration ownerReplaced = 7s;
constexpr Duration callerSilence = 3s;
constexpr Duration horizon = 120s;
constexpr int mostEntries = 6;
constexpr int struckLines = 9;
constexpr int leavesAfter = 4;
constexpr int firstOwner = 100; // actor numbers of owners

enum class Got {
    Ok,
    Silent,
    Broken,
};

} // namespace

StreamWorld::Entry::Entry(Simulation &simulation, FaultRun &run, int number, Offset callerHas)
    : process(simulation, run, number)
    , progress({}, callerHas, simulation.now)
    , cancellation({}, simulation.now)
    , host(fmt::format("entry-{}", number))
    , number(number)
{
}

StreamWorld::StreamWorld(FaultRun &run, Options options)
    : run(run)
    , options(options)
    , finder({}, Instant(1000s))
{
    for (int i = 0; i < options.length; ++i) {
        this->wholeText += static_cast<char>('a' + i % 26);
    }
}

void StreamWorld::runToEnd()
{
    this->history.add(this->simulation.now, history::MemoryTaken{engine, stream, request});
    this->history.add(this->simulation.now, history::Wrote{request, this->wholeText});
    this->simulation.after(fragmentTime * this->options.length, [this] { this->freeMemory(); });
    this->owners.push_back(std::make_unique<SimProcess>(this->simulation, this->run, firstOwner));
    this->ownerTicks();
    this->callerConnects();
    this->simulation.runUntilIdle();
    this->history.add(this->simulation.now, history::Gone{RequestId("end of the run")});
}

std::string StreamWorld::outcome() const
{
    return this->answered ? "answered" : this->gone ? "gone" : "cut off";
}

Duration StreamWorld::heldAfterGone() const
{
    return this->gone && this->freedAt > this->goneAt ? this->freedAt - this->goneAt : Duration(0);
}

void StreamWorld::callerConnects()
{
    const int number = static_cast<int>(this->entries.size()) + 1;
    if (number > mostEntries) {
        return;
    }
    this->current = number;
    this->lastHeard = this->simulation.now;
    const Offset has(static_cast<std::int64_t>(this->text.size()));
    this->entries.push_back(std::make_unique<Entry>(this->simulation, this->run, number, has));
    Entry &entry = *this->entries.back();
    entry.process.onCancel = [this] {
        this->callerGoes();
    };
    this->attach(entry);
    this->watch(entry);
    this->callerWatches(number);
}

void StreamWorld::callerWatches(int number)
{
    this->simulation.after(500ms, [this, number] {
        if (this->gone || this->answered || this->current != number) {
            return;
        }
        if (this->simulation.now - this->lastHeard < callerSilence) {
            this->callerWatches(number);
            return;
        }
        this->callerConnects();
    });
}

void StreamWorld::callerGoes()
{
    if (this->gone || this->answered) {
        return;
    }
    this->gone = true;
    this->goneAt = this->simulation.now;
    this->history.add(this->goneAt, history::Gone{request});
}

void StreamWorld::attach(Entry &entry)
{
    const int connection = ++entry.connection;
    entry.process.act<Got>(
        {"attach", false},
        [this, &entry] {
            this->reader = entry.host;
            return this->cancelled ? Got::Broken : Got::Ok;
        },
        Got::Silent, Got::Broken,
        [this, &entry, connection](Got got) {
            if (got == Got::Ok) {
                entry.progress.onAttached(this->simulation.now);
                this->nextLine(entry, connection, static_cast<int>(entry.progress.readFrom().value()));
            } else if (got == Got::Broken) {
                entry.progress.onBroken(this->simulation.now);
            }
        });
}

// One line of the connection; the engine sends the next when this one has left, whatever became of it.
void StreamWorld::nextLine(Entry &entry, int connection, int at)
{
    const Instant written = Instant(1000s) + fragmentTime * (at + 1);
    const Duration wait = std::max(written - this->simulation.now, Duration(0));
    this->simulation.after(wait, [this, &entry, connection, at] {
        if (this->cancelled || !entry.process.alive || entry.finished || connection != entry.connection) {
            return;
        }
        const char *kind = at < this->options.length ? "fragment" : "end line";
        const Fault fault = at < struckLines ? this->run.strike(entry.number, kind) : Fault::None;
        const auto line = [this, &entry, connection, at] {
            this->onLine(entry, connection, Line{at});
        };
        const bool last = at >= this->options.length;
        switch (fault) {
        case Fault::KillBefore:
        case Fault::KillAfter:
            entry.process.alive = false;
            entry.diedAt = this->simulation.now;
            return;
        case Fault::FreezeBefore:
        case Fault::FreezeAfter:
        case Fault::FreezeForDays:
            entry.diedAt = this->simulation.now; // and lives again ten seconds later
            this->simulation.after(10s, [this, &entry, line, connection, at, last] {
                entry.diedAt = Instant::max();
                line();
                if (!last) {
                    this->nextLine(entry, connection, at + 1);
                }
            });
            return;
        case Fault::Cut:
            return; // silent for good
        case Fault::Refused:
            entry.progress.onBroken(this->simulation.now);
            return;
        case Fault::LostReply:
            break; // this line only
        case Fault::LateEffect:
            line();
            this->simulation.after(2 * fragmentTime, line); // and a second time, behind later ones
            break;
        case Fault::Cancel:
            this->callerGoes();
            line();
            break;
        default:
            line();
        }
        if (!last) {
            this->nextLine(entry, connection, at + 1);
        }
    });
}

void StreamWorld::onLine(Entry &entry, int connection, Line line)
{
    static_cast<void>(connection); // also lines of an older connection reach the reader
    if (!entry.process.alive || entry.finished) {
        return;
    }
    const bool callerHere = !this->gone && this->current == entry.number;
    if (!callerHere) {
        this->cancel(entry); // the write to the caller fails
        return;
    }
    if (line.at < this->options.length) {
        const std::string fragment = this->wholeText.substr(line.at, 1);
        const FragmentVerdict verdict = entry.progress.onFragment(Offset(line.at), fragment, this->simulation.now);
        if (verdict == FragmentVerdict::Deliver) {
            this->text += fragment;
            this->lastHeard = this->simulation.now;
            if (this->options.callerLeaves && this->text.size() == leavesAfter) {
                this->callerGoes();
            }
        } else if (verdict == FragmentVerdict::Gap) {
            this->reattach(entry);
        }
        return;
    }
    const EndVerdict verdict = entry.progress.onEnd(Offset(this->options.length), textDigest(this->wholeText));
    if (verdict == EndVerdict::Whole) {
        entry.finished = true;
        this->answered = true;
        this->history.add(this->simulation.now, history::Answered{request, this->text});
    } else if (verdict == EndVerdict::Short) {
        this->reattach(entry);
    }
}

void StreamWorld::watch(Entry &entry)
{
    this->simulation.after(100ms, [this, &entry] {
        if (!entry.process.alive || entry.finished || this->simulation.now > Instant(1000s) + horizon) {
            return;
        }
        const bool frozen = entry.diedAt <= this->simulation.now;
        if (!frozen && (this->gone || this->current != entry.number)) {
            this->cancel(entry);
            return;
        }
        if (!frozen && entry.progress.check(this->simulation.now) == StreamCheck::Reattach) {
            this->attach(entry);
        }
        this->watch(entry);
    });
}

void StreamWorld::reattach(Entry &entry)
{
    ++entry.connection; // the old one is closed
    entry.progress.onBroken(this->simulation.now);
}

void StreamWorld::cancel(Entry &entry)
{
    entry.finished = true;
    this->onCancelStep(entry, entry.cancellation.start());
}

void StreamWorld::onCancelStep(Entry &entry, CancelStep step)
{
    if (step.kind == CancelStep::Wait) {
        this->simulation.after(step.wait, [this, &entry] {
            if (entry.process.alive) {
                this->onCancelStep(entry, entry.cancellation.onTimerExpired());
            }
        });
    } else if (step.kind == CancelStep::Delete) {
        entry.process.act<Got>(
            {"cancel", false},
            [this, &entry] {
                this->engineCancel(entry.host);
                return Got::Ok; // another reader's stream is no more ours to cancel
            },
            Got::Silent, Got::Broken,
            [this, &entry](Got got) {
                const CancelStep next = got == Got::Ok ? entry.cancellation.onConfirmed()
                                                       : entry.cancellation.onFailed(this->simulation.now);
                this->onCancelStep(entry, next);
            });
    }
}

// Failure: an entry that was frozen thaws, sees that its caller has left, and cancels the stream that the caller has
// long been reading through another entry. The engine cancels only for the last reader.
bool StreamWorld::engineCancel(const HostId &asker)
{
    if (asker != this->reader) {
        return false;
    }
    this->cancelled = true;
    this->freeMemory();
    return true;
}

void StreamWorld::freeMemory()
{
    if (this->held) {
        this->held = false;
        this->freedAt = this->simulation.now;
        this->history.add(this->freedAt, history::MemoryFreed{engine, stream});
    }
}

bool StreamWorld::isFrozenOrDead(const Entry &entry) const
{
    const bool frozen = entry.diedAt <= this->simulation.now - detection;
    return frozen || !entry.process.alive;
}

std::set<HostId> StreamWorld::liveEntries() const
{
    std::set<HostId> live;
    for (const auto &entry : this->entries) {
        if (!this->isFrozenOrDead(*entry)) {
            live.insert(entry->host);
        }
    }
    return live;
}

void StreamWorld::ownerTicks()
{
    this->simulation.after(1s, [this] {
        if (this->simulation.now > Instant(1000s) + horizon) {
            return;
        }
        SimProcess &owner = *this->owners.back();
        if (!owner.alive) {
            this->simulation.after(ownerReplaced, [this] {
                const int actor = firstOwner + static_cast<int>(this->owners.size());
                this->owners.push_back(std::make_unique<SimProcess>(this->simulation, this->run, actor));
                this->finder = OrphanFinder({}, this->simulation.now);
                this->ownerTicks();
            });
            return;
        }
        this->finder.onEntries(this->liveEntries());
        for (const auto &entry : this->entries) {
            if (!this->isFrozenOrDead(*entry)) {
                this->finder.onHolding(entry->host,
                                       entry->finished ? std::set<StreamId>() : std::set<StreamId>{stream});
            }
        }
        std::vector<EngineStream> list;
        if (!this->cancelled) {
            list.push_back({stream, this->reader, false});
        }
        if (!this->finder.onStreams(engine, list, this->simulation.now).empty()) {
            const HostId lastReader = this->reader;
            owner.act<Got>(
                {"remove the orphan", false},
                [this, lastReader] { return this->engineCancel(lastReader) ? Got::Ok : Got::Broken; }, Got::Silent,
                Got::Broken, [](Got) {});
        }
        this->ownerTicks();
    });
}

} // namespace fescuesill
