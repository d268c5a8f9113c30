// Reads headers and bodies, bounds them, and turns errors into answers by the table.

#include "entry/caller_api.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <openssl/evp.h>

#include "base/json.h"
#include "base/metrics.h"
#include "base/network.h"
#include "state/configuration.h"
#include "state/job_rules.h"

namespace wigeon {

namespace {

constexpr std::uint64_t longest_deadline_ms = 600'000;
constexpr milliseconds job_append_limit{5000};
constexpr std::size_t cancel_limit = 1'000;
constexpr milliseconds unknown_job_limit{600};
constexpr std::size_t path_limit = 1'024;
constexpr std::string_view request_prefix = "/v1/requests";

std::uint64_t read_number(const httplib::Request& request, const char* header, std::uint64_t fallback,
                          std::uint64_t lowest, std::uint64_t highest)
{
    if (!request.has_header(header))
        return fallback;
    const std::string text = request.get_header_value(header);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_whole || number < lowest || number > highest)
        throw error(error_kind::malformed_request, std::string(header) + ": not a number in " + std::to_string(lowest) +
                                                       " to " + std::to_string(highest));
    return number;
}

bool read_flag(const httplib::Request& request, const char* header)
{
    const std::string text = request.get_header_value(header);
    if (text.empty() || text == "false")
        return false;
    if (text == "true")
        return true;
    throw error(error_kind::malformed_request, std::string(header) + ": neither 'true' nor 'false'");
}

std::string read_name(const httplib::Request& request, const char* header)
{
    std::string name = request.get_header_value(header);
    if (!is_valid_name(name))
        throw error(error_kind::malformed_request,
                    std::string(header) + ": missing, too long or has characters beyond A-Z a-z 0-9 - _ .");
    return name;
}

std::string read_key(const httplib::Request& request)
{
    std::string key = request.get_header_value("Idempotency-Key");
    const bool is_printable = std::all_of(key.begin(), key.end(), [](unsigned char c) { return c > 0x20 && c < 0x7F; });
    if (key.size() > key_limit_bytes || !is_printable)
        throw error(error_kind::malformed_request,
                    "Idempotency-Key: longer than " + std::to_string(key_limit_bytes) + " bytes or not printable");
    return key;
}

std::string hash_token(std::string_view token)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(token.data(), token.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int i = 0; i < size; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xFU];
    }
    return text;
}

void write_job(const Job& job, httplib::Response& answer)
{
    answer.set_content(format_json(job), "application/json");
}

} // namespace

caller_api::caller_api(const EntrySettings& settings, replica& state, request_service& requests,
                       std::function<bool()> is_ready, std::function<bool()> is_crowded)
    : settings(settings),
      state(state),
      requests(requests),
      is_ready(std::move(is_ready)),
      is_crowded(std::move(is_crowded))
{
}

void caller_api::add_routes(httplib::Server& server)
{
    server.set_payload_max_length(this->settings.body_limit_bytes());
    server.Post(R"(/v1/requests(/.*)?)", this->guard([this](const auto& r, auto& a) { this->forward(r, a); }));
    server.Post("/v1/jobs", this->guard([this](const auto& r, auto& a) { this->submit_job(r, a); }));
    server.Post("/v1/jobs/cancel", this->guard([this](const auto& r, auto& a) { this->cancel_jobs(r, a); }));
    server.Get(R"(/v1/jobs/([^/]+)/([^/]+))", this->guard([this](const auto& r, auto& a) { this->show_job(r, a); }));
    const httplib::Server::HandlerWithResponse handle_error = [](const httplib::Request&, httplib::Response& answer) {
        if (!answer.body.empty() || answer.has_header("Wigeon-Execution"))
            return httplib::Server::HandlerResponse::Unhandled;
        // What the library refused by itself: a body beyond the limit, a header beyond its bound, an unknown path.
        const bool is_too_large = answer.status == 413;
        const error failure(is_too_large ? error_kind::body_too_large : error_kind::malformed_request,
                            is_too_large ? "body: larger than the limit" : "no such path, method or header form");
        count_refusal(find_error_response(failure.kind()).name);
        answer.set_content(format_error_body(failure), "application/json");
        return httplib::Server::HandlerResponse::Handled;
    };
    server.set_error_handler(handle_error);
}

httplib::Server::Handler caller_api::guard(handler inner)
{
    return [this, inner = std::move(inner)](const httplib::Request& request, httplib::Response& answer) {
        ++this->active;
        try {
            if (!this->is_ready())
                throw error(error_kind::not_ready, "the configuration in force is not known yet");
            inner(request, answer);
        }
        catch (const error& failure) {
            const error_response& entry = find_error_response(failure.kind());
            count_refusal(entry.name);
            answer.status = entry.status;
            if (entry.is_retryable)
                answer.set_header("Retry-After", std::to_string((entry.retry_after_ms + 999) / 1000));
            answer.set_header("Wigeon-Execution", std::string(to_string(entry.execution)));
            answer.set_content(format_error_body(failure), "application/json");
        }
        catch (const std::exception& failure) {
            count_refusal("internal");
            answer.status = 500;
            answer.set_content(format_error_body(error(error_kind::internal, failure.what())), "application/json");
        }
        const std::uint64_t version =
            this->state.read([](const replicated_state& current) { return current.configuration().version(); });
        answer.set_header("Wigeon-Configuration-Version", std::to_string(version));
        // An idle connection holds a thread, which under a flood others wait for.
        if (this->closing || this->is_crowded())
            answer.set_header("Connection", "close");
        --this->active;
    };
}

void caller_api::check_caller(const httplib::Request& request, std::string_view account_name) const
{
    const std::string expected = this->state.read([&](const replicated_state& current) {
        const Account* account = find_account(current.configuration(), account_name);
        if (account == nullptr)
            throw error(error_kind::unknown_account,
                        "account: '" + std::string(account_name.substr(0, name_limit_bytes)) + "' is not configured");
        return account->token_sha256();
    });
    if (!expected.empty() && hash_token(request.get_header_value("Wigeon-Token")) != expected)
        throw error(error_kind::unauthorized, "Wigeon-Token: missing or wrong");
}

void caller_api::forward(const httplib::Request& request, httplib::Response& answer)
{
    caller_request forwarded;
    forwarded.account = read_name(request, "Wigeon-Account");
    forwarded.job_class = read_name(request, "Wigeon-Class");
    this->check_caller(request, forwarded.account);
    forwarded.key = read_key(request);
    forwarded.first_sent_ms = read_number(request, "Wigeon-First-Sent-Ms", 0, 1, UINT64_MAX / 2);
    forwarded.time_limit = milliseconds(
        read_number(request, "Wigeon-Deadline-Ms", this->settings.default_deadline_ms(), 1, longest_deadline_ms));
    executor_request& sent = forwarded.forwarded;
    sent.is_idempotent = read_flag(request, "Wigeon-Idempotent");
    // The target as the caller sent it, with its query, behind our own prefix.
    sent.path = request.target.substr(std::min(request.target.size(), request_prefix.size()));
    if (!sent.path.starts_with("/"))
        sent.path.insert(0, "/");
    if (sent.path.size() > path_limit)
        throw error(error_kind::malformed_request, "path: longer than " + std::to_string(path_limit) + " bytes");
    sent.body = request.body;
    sent.content_type = request.has_header("Content-Type") ? request.get_header_value("Content-Type")
                                                           : std::string("application/octet-stream");
    sent.request_id = request.has_header("Wigeon-Request-Id") ? read_name(request, "Wigeon-Request-Id")
                                                              : format_incarnation(generate_incarnation());
    const executor_response result = this->requests.serve(forwarded);
    answer.status = result.status;
    if (!result.content_encoding.empty())
        answer.set_header("Content-Encoding", result.content_encoding);
    answer.set_header("Wigeon-Execution", std::string(to_string(execution_status::ran)));
    answer.set_content(result.body, result.content_type.empty() ? "application/octet-stream" : result.content_type);
    process_metrics().count("wigeon_requests_answered_total");
}

void caller_api::submit_job(const httplib::Request& request, httplib::Response& answer)
{
    Record record;
    JobRequest& job = *record.mutable_submit();
    parse_json(request.body, job);
    this->check_caller(request, job.account());
    const std::string header_key = read_key(request);
    if (job.key().empty())
        job.set_key(header_key.empty() ? format_incarnation(generate_incarnation()) : header_key);
    const std::string id = make_job_id(job);
    this->state.read([&](const replicated_state& current) {
        check_job_request(current.configuration(), job);
        if (current.find_job(id) == nullptr)
            current.check_job_quota(job.account());
    });
    const apply_result result = this->state.submit(std::move(record), read_steady_clock() + job_append_limit);
    if (result.outcome != apply_outcome::applied)
        throw error(result.reason.value_or(error_kind::internal), result.detail);
    process_metrics().count("wigeon_jobs_accepted_total");
    answer.status = 202;
    this->state.read([&](const replicated_state& current) {
        const Job* accepted = current.find_job(id);
        if (accepted != nullptr)
            write_job(*accepted, answer);
    });
}

void caller_api::show_job(const httplib::Request& request, httplib::Response& answer) const
{
    this->check_caller(request, request.matches[1].str());
    const std::string id = request.matches[1].str() + "/" + request.matches[2].str();
    // Who asks again and again wants the newest state; a job that another entry accepted may not be read here yet.
    this->state.hurry();
    if (!this->state.read([&](const replicated_state& current) { return current.find_job(id) != nullptr; }))
        this->state.catch_up(unknown_job_limit);
    this->state.read([&](const replicated_state& current) {
        const Job* job = current.find_job(id);
        if (job == nullptr)
            throw error(error_kind::unknown_job, "'" + id.substr(0, key_limit_bytes) + "'");
        write_job(*job, answer);
    });
}

void caller_api::cancel_jobs(const httplib::Request& request, httplib::Response& answer)
{
    Record record;
    CancelJobs& cancel = *record.mutable_cancel();
    parse_json(request.body, cancel);
    if (cancel.jobs().empty() || static_cast<std::size_t>(cancel.jobs_size()) > cancel_limit)
        throw error(error_kind::malformed_request, "jobs: not 1 to " + std::to_string(cancel_limit) + " entries");
    for (const std::string& id : cancel.jobs())
        this->check_caller(request, id.substr(0, id.find('/')));
    const auto count = static_cast<std::uint64_t>(cancel.jobs_size());
    this->state.submit(std::move(record), read_steady_clock() + job_append_limit);
    process_metrics().count("wigeon_jobs_cancel_requested_total", count);
    json_object body;
    body.add("cancel_requested", count);
    answer.status = 202;
    answer.set_content(body.to_string(), "application/json");
}

} // namespace wigeon
