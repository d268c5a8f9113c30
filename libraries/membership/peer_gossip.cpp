// nng sockets: publish/subscribe for heartbeats, request/reply for states and lease renewals.

#include "membership/peer_gossip.h"

#include <algorithm>

#include <nng/protocol/pubsub0/pub.h>
#include <nng/protocol/pubsub0/sub.h>
#include <nng/protocol/reqrep0/rep.h>
#include <nng/protocol/reqrep0/req.h>

#include "base/error_kind.h"
#include "base/metrics.h"
#include "base/network.h"

namespace wigeon {

namespace {

constexpr nng_duration receive_timeout_ms = 200;
constexpr milliseconds state_timeout{1000};
constexpr std::size_t reply_thread_count = 2;
constexpr std::size_t max_state_bytes = std::size_t{64} << 20U;
// A process that got no response of the log for this long fetches newer state from its peers.
constexpr milliseconds log_outage_threshold{2000};
constexpr milliseconds catch_up_interval{1000};
constexpr milliseconds heartbeat_check_interval{50};

void check_nng(int result, const char* action)
{
    if (result != 0)
        throw error(error_kind::internal, std::string("nng: ") + action + ": " + nng_strerror(result));
}

// Requests are answered on the port after the one of the heartbeats.
std::string make_request_url(const std::string& address)
{
    const host_port parsed = parse_address(address);
    return "tcp://" + parsed.host + ":" + std::to_string(parsed.port + 1);
}

// Returns the next offset of a process that applied the response.
std::uint64_t find_end_offset(const StateAnswer& response)
{
    if (response.has_state())
        return response.state().next_offset();
    return response.records().first_offset() + static_cast<std::uint64_t>(response.records().records_size());
}

} // namespace

peer_gossip::peer_gossip(const CommonSettings& settings, std::string role, replica& state)
    : settings(settings),
      role(std::move(role)),
      state(state),
      peers(split_list(settings.peers(), ',')),
      heartbeats({milliseconds(settings.beat_interval_ms()),
                  milliseconds(std::max(settings.idle_beat_interval_ms(), settings.beat_interval_ms())),
                  milliseconds(settings.peer_timeout_ms())})
{
}

peer_gossip::~peer_gossip()
{
    this->stop();
}

void peer_gossip::start(std::function<std::uint32_t()> read_demand)
{
    this->read_demand = std::move(read_demand);
    check_nng(nng_pub0_open(&this->publisher), "open publisher");
    check_nng(nng_sub0_open(&this->subscriber), "open subscriber");
    check_nng(nng_rep0_open(&this->reply_socket), "open reply socket");
    check_nng(nng_listen(this->publisher, ("tcp://" + this->settings.peer_address()).c_str(), nullptr, 0),
              ("listen on " + this->settings.peer_address()).c_str());
    check_nng(nng_listen(this->reply_socket, make_request_url(this->settings.peer_address()).c_str(), nullptr, 0),
              "listen for requests");
    check_nng(nng_socket_set(this->subscriber, NNG_OPT_SUB_SUBSCRIBE, "", 0), "subscribe");
    check_nng(nng_socket_set_ms(this->subscriber, NNG_OPT_RECVTIMEO, receive_timeout_ms), "set timeout");
    check_nng(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check_nng(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    for (const std::string& peer : this->peers)
        check_nng(nng_dial(this->subscriber, ("tcp://" + peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    this->send_thread = std::thread([this] { this->run_sender(); });
    this->receive_thread = std::thread([this] { this->run_receiver(); });
    for (std::size_t i = 0; i < reply_thread_count; ++i)
        this->reply_threads.emplace_back([this] { this->run_server(); });
}

void peer_gossip::stop()
{
    if (!this->send_thread.joinable())
        return;
    this->stopping = true;
    this->send_thread.join();
    this->receive_thread.join();
    for (std::thread& server : this->reply_threads)
        server.join();
    // NOTE: The sockets stay open until the process exits. Closing them while peers disconnect is the suspected cause
    // of a shutdown that hung.
}

Beat peer_gossip::make_heartbeat() const
{
    Beat heartbeat;
    heartbeat.set_incarnation(this->state.incarnation());
    heartbeat.set_address(this->settings.peer_address());
    heartbeat.set_role(this->role);
    heartbeat.set_demand(this->read_demand());
    heartbeat.set_is_leaving(this->leaving);
    this->state.read([&heartbeat](const replicated_state& current) {
        heartbeat.set_configuration_version(current.configuration().version());
        heartbeat.set_next_offset(current.next_offset());
        heartbeat.set_term(current.term());
    });
    return heartbeat;
}

void peer_gossip::send_heartbeat(steady_time now)
{
    Beat heartbeat = this->make_heartbeat();
    {
        const std::lock_guard lock(this->mutex);
        if (!this->heartbeats.is_due(heartbeat, now))
            return;
        heartbeat.set_valid_ms(static_cast<std::uint32_t>(this->heartbeats.record_sent(heartbeat, now).count()));
    }
    const std::string serialized = heartbeat.SerializeAsString();
    // Publishing never blocks; a peer that is not connected misses the heartbeat.
    nng_send(this->publisher, const_cast<char*>(serialized.data()), serialized.size(), 0);
    process_metrics().count("wigeon_beats_sent_total");
}

void peer_gossip::run_sender()
{
    steady_time next_catch_up{};
    while (!this->stopping) {
        const steady_time now = read_steady_clock();
        this->send_heartbeat(now);
        {
            const std::lock_guard lock(this->mutex);
            const std::size_t expired_count = this->members.expire(now);
            if (expired_count > 0)
                process_metrics().count("wigeon_members_expired_total", expired_count);
        }
        if (now >= next_catch_up) {
            this->catch_up_from_peers();
            next_catch_up = now + catch_up_interval;
        }
        std::this_thread::sleep_for(heartbeat_check_interval);
    }
}

void peer_gossip::run_receiver()
{
    while (!this->stopping) {
        nng_msg* message = nullptr;
        if (nng_recvmsg(this->subscriber, &message, 0) != 0)
            continue;
        Beat heartbeat;
        const bool is_parsed = heartbeat.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        nng_msg_free(message);
        if (!is_parsed) {
            count_refusal("malformed_beat");
            continue;
        }
        const steady_time now = read_steady_clock();
        const std::lock_guard lock(this->mutex);
        if (this->members.record_heartbeat(heartbeat, now))
            this->heartbeats.record_join(now);
    }
}

StateAnswer peer_gossip::handle_state_request(const StateQuestion& request) const
{
    StateAnswer response;
    if (this->state.is_ready())
        response = this->state.make_state_response(request.newer_than_offset());
    return response;
}

std::string peer_gossip::handle_request(const PeerQuestion& request)
{
    if (request.has_renewal())
        return this->renewal_handler ? this->renewal_handler(request.renewal()).SerializeAsString() : "";
    return this->handle_state_request(request.state()).SerializeAsString();
}

// Runs on several threads, each with its own nng context, so that sending a state does not delay a renewal.
void peer_gossip::run_server()
{
    nng_ctx context = NNG_CTX_INITIALIZER;
    check_nng(nng_ctx_open(&context, this->reply_socket), "open context");
    nng_aio* aio = nullptr;
    check_nng(nng_aio_alloc(&aio, nullptr, nullptr), "allocate an asynchronous operation");
    nng_aio_set_timeout(aio, receive_timeout_ms);
    while (!this->stopping) {
        nng_ctx_recv(context, aio);
        nng_aio_wait(aio);
        if (nng_aio_result(aio) != 0)
            continue;
        nng_msg* message = nng_aio_get_msg(aio);
        PeerQuestion request;
        const bool is_parsed = request.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        const std::string response = is_parsed ? this->handle_request(request) : "";
        nng_msg_clear(message);
        nng_msg_append(message, response.data(), response.size());
        nng_aio_set_msg(aio, message);
        nng_ctx_send(context, aio);
        nng_aio_wait(aio);
        if (nng_aio_result(aio) != 0)
            nng_msg_free(message);
    }
}

// Returns the socket for the peer and purpose, opening it on first use. It stays open, since nng reconnects it.
peer_gossip::request_socket& peer_gossip::find_request_socket(const std::string& peer, const std::string& purpose)
{
    const std::lock_guard lock(this->request_sockets_mutex);
    std::unique_ptr<request_socket>& found = this->request_sockets[{peer, purpose}];
    if (found)
        return *found;
    found = std::make_unique<request_socket>();
    nng_socket& socket = found->socket;
    check_nng(nng_req0_open(&socket), "open request socket");
    check_nng(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_state_bytes), "set maximum message size");
    check_nng(nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check_nng(nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    check_nng(nng_dial(socket, make_request_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    return *found;
}

// Returns the serialized response; empty when none arrived in time. The timeout applies to sending and to receiving.
std::string peer_gossip::call_peer(const std::string& peer, const std::string& purpose, const PeerQuestion& request,
                                   milliseconds timeout)
{
    request_socket& connection = this->find_request_socket(peer, purpose);
    const std::lock_guard lock(connection.mutex);
    const auto timeout_ms = static_cast<nng_duration>(timeout.count());
    check_nng(nng_socket_set_ms(connection.socket, NNG_OPT_SENDTIMEO, timeout_ms), "set timeout");
    check_nng(nng_socket_set_ms(connection.socket, NNG_OPT_RECVTIMEO, timeout_ms), "set timeout");
    std::string serialized = request.SerializeAsString();
    nng_msg* message = nullptr;
    if (nng_send(connection.socket, serialized.data(), serialized.size(), 0) != 0 ||
        nng_recvmsg(connection.socket, &message, 0) != 0)
        return "";
    std::string response(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    return response;
}

std::optional<RenewalAnswer> peer_gossip::request_renewal(const std::string& peer, const RenewalQuestion& request,
                                                          milliseconds timeout)
{
    PeerQuestion peer_request;
    *peer_request.mutable_renewal() = request;
    RenewalAnswer response;
    if (!response.ParseFromString(this->call_peer(peer, "renewal", peer_request, timeout)))
        return std::nullopt;
    return response;
}

StateAnswer peer_gossip::fetch_state(const std::string& peer, std::uint64_t newer_than_offset)
{
    PeerQuestion request;
    request.mutable_state()->set_newer_than_offset(newer_than_offset);
    StateAnswer response;
    if (!response.ParseFromString(this->call_peer(peer, "state", request, state_timeout)))
        return {};
    return response;
}

StateAnswer peer_gossip::fetch_newest_state(std::uint64_t newer_than_offset)
{
    StateAnswer newest;
    std::uint64_t newest_end = newer_than_offset;
    for (const std::string& peer : this->peers) {
        StateAnswer response = this->fetch_state(peer, newer_than_offset);
        const std::uint64_t end = find_end_offset(response);
        if (end <= newest_end)
            continue;
        newest_end = end;
        newest = std::move(response);
    }
    return newest;
}

// Installs newer state of peers when this process is partitioned from the log, but not from the peers, and one of them
// announced a newer configuration.
void peer_gossip::catch_up_from_peers()
{
    const bool is_log_unreachable = read_steady_clock() - this->state.last_log_response_at() > log_outage_threshold;
    if (!is_log_unreachable || this->is_configuration_current())
        return;
    for (const std::string& peer : this->peers) {
        const std::uint64_t own_offset = this->state.read([](const replicated_state& s) { return s.next_offset(); });
        this->state.apply_state_response(this->fetch_state(peer, own_offset));
        if (this->is_configuration_current())
            return;
    }
}

std::vector<member> peer_gossip::list_live(std::string_view role) const
{
    const std::lock_guard lock(this->mutex);
    return this->members.list_live(role);
}

std::size_t peer_gossip::peak_live_count(std::string_view role) const
{
    const std::lock_guard lock(this->mutex);
    return this->members.peak_live_count(role);
}

std::uint64_t peer_gossip::newest_configuration_version() const
{
    const std::lock_guard lock(this->mutex);
    return this->members.newest_configuration_version();
}

bool peer_gossip::is_configuration_current() const
{
    const std::uint64_t own_version =
        this->state.read([](const replicated_state& s) { return s.configuration().version(); });
    return own_version >= this->newest_configuration_version();
}

} // namespace wigeon
