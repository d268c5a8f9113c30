// nng sockets: publish and subscribe for beats, request and reply for states.

#include "membership/peer_gossip.h"

#include <nng/protocol/pubsub0/pub.h>
#include <nng/protocol/pubsub0/sub.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include "base/error_kind.h"
#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

constexpr nng_duration receive_limit_ms = 200;
constexpr nng_duration state_limit_ms = 1000;
constexpr std::size_t state_size_limit = std::size_t{64} << 20U;
// A peer that is this much ahead of a process that cannot read the log hands its state over.
constexpr milliseconds log_silence_limit{2000};
constexpr milliseconds catch_up_interval{1000};

void check(int result, const char* action)
{
    if (result != 0)
        throw error(error_kind::internal, std::string("nng: ") + action + ": " + nng_strerror(result));
}

// States are served on the port after the one of the beats.
std::string find_state_url(const std::string& address)
{
    const host_port parsed = parse_address(address);
    return "tcp://" + parsed.host + ":" + std::to_string(parsed.port + 1);
}

} // namespace

peer_gossip::peer_gossip(const CommonSettings& settings, std::string role, replica& state)
    : settings(settings),
      role(std::move(role)),
      state(state),
      peers(split_list(settings.peers(), ',')),
      members(milliseconds(settings.peer_timeout_ms()))
{
}

peer_gossip::~peer_gossip()
{
    this->stop();
}

void peer_gossip::start(std::function<std::uint32_t()> read_demand)
{
    this->read_demand = std::move(read_demand);
    check(nng_pub0_open(&this->publisher), "open publisher");
    check(nng_sub0_open(&this->subscriber), "open subscriber");
    check(nng_rep0_open(&this->state_server), "open state server");
    check(nng_listen(this->publisher, ("tcp://" + this->settings.peer_address()).c_str(), nullptr, 0),
          ("listen on " + this->settings.peer_address()).c_str());
    check(nng_listen(this->state_server, find_state_url(this->settings.peer_address()).c_str(), nullptr, 0),
          "listen for state questions");
    check(nng_socket_set(this->subscriber, NNG_OPT_SUB_SUBSCRIBE, "", 0), "subscribe");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECVTIMEO, receive_limit_ms), "set limit");
    check(nng_socket_set_ms(this->state_server, NNG_OPT_RECVTIMEO, receive_limit_ms), "set limit");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    for (const std::string& peer : this->peers)
        check(nng_dial(this->subscriber, ("tcp://" + peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    this->sender = std::thread([this] { this->run_sender(); });
    this->receiver = std::thread([this] { this->run_receiver(); });
    this->server = std::thread([this] { this->run_state_server(); });
}

void peer_gossip::stop()
{
    if (!this->sender.joinable())
        return;
    this->stopping = true;
    this->sender.join();
    this->receiver.join();
    this->server.join();
    // NOTE: The sockets are left to the end of the process. Closing them while peers vanish is a suspect in a
    // shutdown that never ended.
}

Beat peer_gossip::make_beat() const
{
    Beat beat;
    beat.set_incarnation(this->state.incarnation());
    beat.set_address(this->settings.peer_address());
    beat.set_role(this->role);
    beat.set_demand(this->read_demand());
    beat.set_is_leaving(this->leaving);
    this->state.read([&beat](const replicated_state& current) {
        beat.set_configuration_version(current.configuration().version());
        beat.set_next_offset(current.next_offset());
        beat.set_term(current.term());
    });
    return beat;
}

void peer_gossip::run_sender()
{
    steady_time next_catch_up{};
    while (!this->stopping) {
        const std::string beat = this->make_beat().SerializeAsString();
        // Publishing never blocks; a peer that is not connected misses the beat.
        nng_send(this->publisher, const_cast<char*>(beat.data()), beat.size(), 0);
        process_metrics().count("wigeon_beats_sent_total");
        const steady_time now = read_steady_clock();
        {
            const std::lock_guard lock(this->mutex);
            const std::size_t lost = this->members.expire(now);
            if (lost > 0)
                process_metrics().count("wigeon_members_expired_total", lost);
        }
        if (now >= next_catch_up) {
            this->catch_up();
            next_catch_up = now + catch_up_interval;
        }
        std::this_thread::sleep_for(milliseconds(this->settings.beat_interval_ms()));
    }
}

void peer_gossip::run_receiver()
{
    while (!this->stopping) {
        nng_msg* message = nullptr;
        if (nng_recvmsg(this->subscriber, &message, 0) != 0)
            continue;
        Beat beat;
        const bool is_whole = beat.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        nng_msg_free(message);
        if (!is_whole) {
            count_refusal("malformed_beat");
            continue;
        }
        const std::lock_guard lock(this->mutex);
        this->members.note_beat(beat, read_steady_clock());
    }
}

void peer_gossip::run_state_server()
{
    while (!this->stopping) {
        nng_msg* message = nullptr;
        if (nng_recvmsg(this->state_server, &message, 0) != 0)
            continue;
        StateQuestion question;
        const bool is_whole = question.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        nng_msg_free(message);
        StateAnswer answer;
        if (is_whole && this->state.is_ready()) {
            this->state.read([&](const replicated_state& current) {
                if (current.next_offset() <= question.newer_than_offset())
                    return;
                *answer.mutable_state() = current.make_snapshot();
            });
        }
        const std::string serialized = answer.SerializeAsString();
        nng_send(this->state_server, const_cast<char*>(serialized.data()), serialized.size(), 0);
    }
}

// One socket for each peer, kept open: it connects again by itself.
nng_socket peer_gossip::find_state_socket(const std::string& peer)
{
    const auto found = this->state_sockets.find(peer);
    if (found != this->state_sockets.end())
        return found->second;
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    check(nng_req0_open(&socket), "open state client");
    check(nng_socket_set_ms(socket, NNG_OPT_SENDTIMEO, state_limit_ms), "set limit");
    check(nng_socket_set_ms(socket, NNG_OPT_RECVTIMEO, state_limit_ms), "set limit");
    check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, state_size_limit), "set size");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    check(nng_dial(socket, find_state_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    this->state_sockets.emplace(peer, socket);
    return socket;
}

StateAnswer peer_gossip::ask_state(std::uint64_t newer_than_offset)
{
    // The tailing thread and the one of the beats may ask at once.
    const std::lock_guard lock(this->state_sockets_mutex);
    StateQuestion question;
    question.set_newer_than_offset(newer_than_offset);
    const std::string serialized = question.SerializeAsString();
    StateAnswer newest;
    for (const std::string& peer : this->peers) {
        const nng_socket socket = this->find_state_socket(peer);
        nng_msg* message = nullptr;
        const bool is_answered = nng_send(socket, const_cast<char*>(serialized.data()), serialized.size(), 0) == 0 &&
                                 nng_recvmsg(socket, &message, 0) == 0;
        if (!is_answered)
            continue;
        StateAnswer answer;
        if (answer.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message))) &&
            answer.state().next_offset() > newest.state().next_offset())
            newest = std::move(answer);
        nng_msg_free(message);
    }
    return newest;
}

// A process that is cut off from the log, but not from its peers, takes their newer state over.
void peer_gossip::catch_up()
{
    const bool is_log_silent = read_steady_clock() - this->state.last_log_answer() > log_silence_limit;
    if (!is_log_silent || this->is_current())
        return;
    const std::uint64_t own = this->state.read([](const replicated_state& s) { return s.next_offset(); });
    const StateAnswer answer = this->ask_state(own);
    if (answer.has_state())
        this->state.install(answer.state(), "peer");
}

std::vector<member> peer_gossip::list_live(std::string_view role) const
{
    const std::lock_guard lock(this->mutex);
    return this->members.list_live(role);
}

std::size_t peer_gossip::largest_size(std::string_view role) const
{
    const std::lock_guard lock(this->mutex);
    return this->members.largest_size(role);
}

std::uint64_t peer_gossip::newest_version() const
{
    const std::lock_guard lock(this->mutex);
    return this->members.newest_version();
}

bool peer_gossip::is_current() const
{
    const std::uint64_t own = this->state.read([](const replicated_state& s) { return s.configuration().version(); });
    return own >= this->newest_version();
}

} // namespace wigeon
