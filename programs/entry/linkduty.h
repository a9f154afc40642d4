#pragma once

// The links of an entry to schedulers: the one of its own host, which is always open, and those to the owners of the
// cells that it uses, each open while it is used (promise/linkuse.h).
//
//     auto links = LinkDuty::create(options, held, deliver).value();
//     links->start();
//     links->view()->declaration;                     // any thread
//     links->send(*route->owner, peer::Submit{...});  // any thread

#include "programs/entry/entryview.h"
#include "programs/entry/heldrequests.h"
#include "promise/linkuse.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>

namespace fescuesill
{

// What a request hears from its owner; no message: the link to the owner broke.
struct OwnerNews {
    RequestId request;
    std::optional<peer::Message> message;
};
struct OwnerLost {
    LinkId link;
};
using LinkEvent = std::variant<OwnerNews, OwnerLost>;

class LinkDuty
{
public:
    struct Options {
        HostId host;
        DataCentreId dataCentre;
        std::string scheduler; // IP:PORT of this host's own
        std::shared_ptr<const KeyRing> keys = {}; // null: links prove nothing
        LinkUse::Options use;
        Duration tick{100ms}; // to close idle links and give up those that do not open
    };
    // Called on the thread of the links; must not wait.
    using Deliver = std::function<void(LinkEvent)>;

    ~LinkDuty();
    LinkDuty(const LinkDuty &) = delete;
    LinkDuty &operator=(const LinkDuty &) = delete;

    static tl::expected<std::unique_ptr<LinkDuty>, WireError> create(Options options, const HeldRequests &held,
                                                                     Deliver deliver);

    void start();
    std::shared_ptr<const EntryView> view() const;
    // Opens the link first where it is closed.
    void send(LinkId link, peer::Message message);
    // Links that are open now.
    std::size_t openLinks() const;
    // Whether a scheduler and this entry lately failed to prove themselves to each other.
    bool hasRefusedLately() const;

private:
    struct Link {
        explicit Link(const LinkUse::Options &options)
            : use(options)
        {
        }
        LinkId id{}; // for as long as the address is an owner's
        std::optional<LinkId> connection; // the node's own id, while it is open or to be opened
        LinkUse use;
        std::vector<peer::Message> waiting; // for the link to open; bounded by `use`
        std::set<CellId> cells; // that its scheduler owned when last told
    };

    LinkDuty(Options options, const HeldRequests &held, Deliver deliver);

    void onOpened(LinkId connection);
    void onClosed(LinkId connection);
    void onReceived(peer::Message message);
    void tick();
    void tick(const std::string &address, Link &link, Instant now);
    void sendNow(LinkId link, peer::Message message);
    void open(const std::string &address, Link &link);
    void close(Link &link);
    bool isOwnSchedulerUp() const;
    void follow(bool wanted);
    void take(const peer::ConfigInForce &config);
    void take(const peer::AllCells &cells);
    void linkTo(const std::map<std::string, std::set<CellId>> &owners);
    void tellHolding(const Link &link);
    void tellNewOwner(const std::string &address, Link &link);
    Link &addLink(const std::string &address);
    Link *findConnection(LinkId connection);
    void dropWaiting(Link &link);
    void publish();

    Options options;
    const HeldRequests &held;
    Deliver deliver;
    std::map<std::string, Link> links; // by address; as many as there are schedulers
    std::uint64_t lastLink = 0;
    std::atomic<std::size_t> opened{0};
    std::vector<peer::CellUpdate> news;
    std::shared_ptr<const Declaration> declaration;
    ConfigVersion version;
    Instant heard;
    mutable std::mutex viewMutex;
    std::shared_ptr<const EntryView> published;
    // Stopped before anything is destroyed; the timer lives in its event loop.
    std::unique_ptr<PeerNode> node;
    std::unique_ptr<boost::asio::steady_timer> timer;
};

} // namespace fescuesill
