// nng sockets: publish and subscribe for beats, request and reply for states.

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

constexpr nng_duration receive_limit_ms = 200;
constexpr milliseconds state_limit{1000};
constexpr std::size_t server_threads = 2;
constexpr std::size_t state_size_limit = std::size_t{64} << 20U;
// A peer that is this much ahead of a process that cannot read the log hands its state over.
constexpr milliseconds log_silence_limit{2000};
constexpr milliseconds catch_up_interval{1000};
constexpr milliseconds look_interval{50};

void check(int result, const char* action)
{
    if (result != 0)
        throw error(error_kind::internal, std::string("nng: ") + action + ": " + nng_strerror(result));
}

// Questions are answered on the port after the one of the beats.
std::string find_question_url(const std::string& address)
{
    const host_port parsed = parse_address(address);
    return "tcp://" + parsed.host + ":" + std::to_string(parsed.port + 1);
}

// The offset up to which the answer brings a process.
std::uint64_t find_end(const StateAnswer& answer)
{
    if (answer.has_state())
        return answer.state().next_offset();
    return answer.records().first_offset() + static_cast<std::uint64_t>(answer.records().records_size());
}

} // namespace

peer_gossip::peer_gossip(const CommonSettings& settings, std::string role, replica& state)
    : settings(settings),
      role(std::move(role)),
      state(state),
      peers(split_list(settings.peers(), ',')),
      schedule({milliseconds(settings.beat_interval_ms()),
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
    check(nng_pub0_open(&this->publisher), "open publisher");
    check(nng_sub0_open(&this->subscriber), "open subscriber");
    check(nng_rep0_open(&this->question_server), "open server of questions");
    check(nng_listen(this->publisher, ("tcp://" + this->settings.peer_address()).c_str(), nullptr, 0),
          ("listen on " + this->settings.peer_address()).c_str());
    check(nng_listen(this->question_server, find_question_url(this->settings.peer_address()).c_str(), nullptr, 0),
          "listen for questions");
    check(nng_socket_set(this->subscriber, NNG_OPT_SUB_SUBSCRIBE, "", 0), "subscribe");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECVTIMEO, receive_limit_ms), "set limit");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check(nng_socket_set_ms(this->subscriber, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    for (const std::string& peer : this->peers)
        check(nng_dial(this->subscriber, ("tcp://" + peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    this->sender = std::thread([this] { this->run_sender(); });
    this->receiver = std::thread([this] { this->run_receiver(); });
    for (std::size_t i = 0; i < server_threads; ++i)
        this->servers.emplace_back([this] { this->run_server(); });
}

void peer_gossip::stop()
{
    if (!this->sender.joinable())
        return;
    this->stopping = true;
    this->sender.join();
    this->receiver.join();
    for (std::thread& server : this->servers)
        server.join();
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

void peer_gossip::send_beat(steady_time now)
{
    Beat beat = this->make_beat();
    {
        const std::lock_guard lock(this->mutex);
        if (!this->schedule.is_due(beat, now))
            return;
        beat.set_valid_ms(static_cast<std::uint32_t>(this->schedule.note_sent(beat, now).count()));
    }
    const std::string serialized = beat.SerializeAsString();
    // Publishing never blocks; a peer that is not connected misses the beat.
    nng_send(this->publisher, const_cast<char*>(serialized.data()), serialized.size(), 0);
    process_metrics().count("wigeon_beats_sent_total");
}

void peer_gossip::run_sender()
{
    steady_time next_catch_up{};
    while (!this->stopping) {
        const steady_time now = read_steady_clock();
        this->send_beat(now);
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
        std::this_thread::sleep_for(look_interval);
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
        const steady_time now = read_steady_clock();
        const std::lock_guard lock(this->mutex);
        if (this->members.note_beat(beat, now))
            this->schedule.note_join(now);
    }
}

StateAnswer peer_gossip::answer_state(const StateQuestion& question) const
{
    StateAnswer answer;
    if (this->state.is_ready())
        answer = this->state.answer_peer(question.newer_than_offset());
    return answer;
}

std::string peer_gossip::answer_peer(const PeerQuestion& question)
{
    if (question.has_renewal())
        return this->renew ? this->renew(question.renewal()).SerializeAsString() : "";
    return this->answer_state(question.state()).SerializeAsString();
}

// Several threads answer, each in a context of its own, so that a handing over of state delays no renewal.
void peer_gossip::run_server()
{
    nng_ctx context = NNG_CTX_INITIALIZER;
    check(nng_ctx_open(&context, this->question_server), "open context");
    nng_aio* call = nullptr;
    check(nng_aio_alloc(&call, nullptr, nullptr), "prepare calls");
    nng_aio_set_timeout(call, receive_limit_ms);
    while (!this->stopping) {
        nng_ctx_recv(context, call);
        nng_aio_wait(call);
        if (nng_aio_result(call) != 0)
            continue;
        nng_msg* message = nng_aio_get_msg(call);
        PeerQuestion question;
        const bool is_whole = question.ParseFromArray(nng_msg_body(message), static_cast<int>(nng_msg_len(message)));
        const std::string answer = is_whole ? this->answer_peer(question) : "";
        nng_msg_clear(message);
        nng_msg_append(message, answer.data(), answer.size());
        nng_aio_set_msg(call, message);
        nng_ctx_send(context, call);
        nng_aio_wait(call);
        if (nng_aio_result(call) != 0)
            nng_msg_free(message);
    }
}

// One socket for each peer and purpose, kept open: it connects again by itself.
peer_gossip::question_socket& peer_gossip::find_question_socket(const std::string& peer, const std::string& purpose)
{
    const std::lock_guard lock(this->sockets_mutex);
    std::unique_ptr<question_socket>& found = this->sockets[{peer, purpose}];
    if (found)
        return *found;
    found = std::make_unique<question_socket>();
    nng_socket& socket = found->socket;
    check(nng_req0_open(&socket), "open client");
    check(nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, state_size_limit), "set size");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, 50), "set reconnect time");
    check(nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, 500), "set reconnect time");
    check(nng_dial(socket, find_question_url(peer).c_str(), nullptr, NNG_FLAG_NONBLOCK), "dial peer");
    return *found;
}

// The serialized answer; empty when none came within the limit.
std::string peer_gossip::ask_peer(const std::string& peer, const std::string& purpose, const PeerQuestion& question,
                                  milliseconds limit)
{
    question_socket& own = this->find_question_socket(peer, purpose);
    const std::lock_guard lock(own.mutex);
    const auto limit_ms = static_cast<nng_duration>(limit.count());
    check(nng_socket_set_ms(own.socket, NNG_OPT_SENDTIMEO, limit_ms), "set limit");
    check(nng_socket_set_ms(own.socket, NNG_OPT_RECVTIMEO, limit_ms), "set limit");
    std::string serialized = question.SerializeAsString();
    nng_msg* message = nullptr;
    if (nng_send(own.socket, serialized.data(), serialized.size(), 0) != 0 || nng_recvmsg(own.socket, &message, 0) != 0)
        return "";
    std::string answer(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message));
    nng_msg_free(message);
    return answer;
}

std::optional<RenewalAnswer> peer_gossip::ask_renewal(const std::string& peer, const RenewalQuestion& question,
                                                      milliseconds limit)
{
    PeerQuestion asked;
    *asked.mutable_renewal() = question;
    RenewalAnswer answer;
    if (!answer.ParseFromString(this->ask_peer(peer, "renewal", asked, limit)))
        return std::nullopt;
    return answer;
}

StateAnswer peer_gossip::ask_state(const std::string& peer, std::uint64_t newer_than_offset)
{
    PeerQuestion question;
    question.mutable_state()->set_newer_than_offset(newer_than_offset);
    StateAnswer answer;
    if (!answer.ParseFromString(this->ask_peer(peer, "state", question, state_limit)))
        return {};
    return answer;
}

StateAnswer peer_gossip::ask_newest_state(std::uint64_t newer_than_offset)
{
    StateAnswer newest;
    std::uint64_t newest_end = newer_than_offset;
    for (const std::string& peer : this->peers) {
        StateAnswer answer = this->ask_state(peer, newer_than_offset);
        const std::uint64_t end = find_end(answer);
        if (end <= newest_end)
            continue;
        newest_end = end;
        newest = std::move(answer);
    }
    return newest;
}

// A process that is cut off from the log, but not from its peers, takes their newer state over.
void peer_gossip::catch_up()
{
    const bool is_log_silent = read_steady_clock() - this->state.last_log_answer() > log_silence_limit;
    if (!is_log_silent || this->is_current())
        return;
    for (const std::string& peer : this->peers) {
        const std::uint64_t own = this->state.read([](const replicated_state& s) { return s.next_offset(); });
        this->state.take_over(this->ask_state(peer, own));
        if (this->is_current())
            return;
    }
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
