// Parses and validates headers and bodies, and maps each error to its HTTP response by the table in base/error_kind.

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

constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr milliseconds job_append_timeout{5000};
constexpr std::size_t max_cancelled_jobs = 1'000;
constexpr milliseconds unknown_job_read_timeout{600};
constexpr std::size_t max_path_bytes = 1'024;
constexpr std::string_view request_prefix = "/v1/requests";

std::uint64_t read_number(const httplib::Request& request, const char* header, std::uint64_t fallback,
                          std::uint64_t min_value, std::uint64_t max_value)
{
    if (!request.has_header(header))
        return fallback;
    const std::string text = request.get_header_value(header);
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool is_number = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
    if (!is_number || number < min_value || number > max_value)
        throw error(error_kind::malformed_request, std::string(header) + ": not a number in " +
                                                       std::to_string(min_value) + " to " + std::to_string(max_value));
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

void write_job(const Job& job, httplib::Response& response)
{
    response.set_content(format_json(job), "application/json");
}

} // namespace

caller_api::caller_api(const EntrySettings& settings, replica& state, request_service& requests,
                       std::function<bool()> is_ready, std::function<bool()> should_close_idle_connections)
    : settings(settings),
      state(state),
      requests(requests),
      is_ready(std::move(is_ready)),
      should_close_idle_connections(std::move(should_close_idle_connections))
{
}

void caller_api::add_routes(httplib::Server& server)
{
    server.set_payload_max_length(this->settings.body_limit_bytes());
    server.Post(R"(/v1/requests(/.*)?)", this->wrap_handler([this](const auto& r, auto& a) { this->forward(r, a); }));
    server.Post("/v1/jobs", this->wrap_handler([this](const auto& r, auto& a) { this->submit_job(r, a); }));
    server.Post("/v1/jobs/cancel", this->wrap_handler([this](const auto& r, auto& a) { this->cancel_jobs(r, a); }));
    server.Get(R"(/v1/jobs/([^/]+)/([^/]+))",
               this->wrap_handler([this](const auto& r, auto& a) { this->show_job(r, a); }));
    const httplib::Server::HandlerWithResponse handle_error = [](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty() || response.has_header("Wigeon-Execution"))
            return httplib::Server::HandlerResponse::Unhandled;
        // The HTTP library itself rejected the request: a body or header above its size limit, or an unknown path.
        const bool is_too_large = response.status == 413;
        const error failure(is_too_large ? error_kind::body_too_large : error_kind::malformed_request,
                            is_too_large ? "body: larger than the limit" : "no such path, method or header form");
        count_refusal(find_error_response(failure.kind()).name);
        response.set_content(format_error_body(failure), "application/json");
        return httplib::Server::HandlerResponse::Handled;
    };
    server.set_error_handler(handle_error);
}

httplib::Server::Handler caller_api::wrap_handler(handler inner)
{
    return [this, inner = std::move(inner)](const httplib::Request& request, httplib::Response& response) {
        ++this->in_flight_count;
        try {
            if (!this->is_ready())
                throw error(error_kind::not_ready, "the configuration in force is not known yet");
            inner(request, response);
        }
        catch (const error& failure) {
            const error_response& properties = find_error_response(failure.kind());
            count_refusal(properties.name);
            response.status = properties.status;
            if (properties.is_retryable)
                response.set_header("Retry-After", std::to_string((properties.retry_after_ms + 999) / 1000));
            response.set_header("Wigeon-Execution", std::string(to_string(properties.execution)));
            response.set_content(format_error_body(failure), "application/json");
        }
        catch (const std::exception& failure) {
            count_refusal("internal");
            response.status = 500;
            response.set_content(format_error_body(error(error_kind::internal, failure.what())), "application/json");
        }
        const std::uint64_t version =
            this->state.read([](const replicated_state& current) { return current.configuration().version(); });
        response.set_header("Wigeon-Configuration-Version", std::to_string(version));
        // An idle kept-alive connection occupies a server thread, for which other requests wait under overload.
        if (this->closing || this->should_close_idle_connections())
            response.set_header("Connection", "close");
        --this->in_flight_count;
    };
}

void caller_api::authorize(const httplib::Request& request, std::string_view account_name) const
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

void caller_api::forward(const httplib::Request& request, httplib::Response& response)
{
    caller_request incoming;
    incoming.account = read_name(request, "Wigeon-Account");
    incoming.job_class = read_name(request, "Wigeon-Class");
    this->authorize(request, incoming.account);
    incoming.key = read_key(request);
    incoming.first_sent_ms = read_number(request, "Wigeon-First-Sent-Ms", 0, 1, UINT64_MAX / 2);
    incoming.time_limit = milliseconds(
        read_number(request, "Wigeon-Deadline-Ms", this->settings.default_deadline_ms(), 1, max_deadline_ms));
    executor_request& outgoing = incoming.outgoing;
    outgoing.is_idempotent = read_flag(request, "Wigeon-Idempotent");
    // The path and query as the caller sent them, without the prefix of this interface.
    outgoing.path = request.target.substr(std::min(request.target.size(), request_prefix.size()));
    if (!outgoing.path.starts_with("/"))
        outgoing.path.insert(0, "/");
    if (outgoing.path.size() > max_path_bytes)
        throw error(error_kind::malformed_request, "path: longer than " + std::to_string(max_path_bytes) + " bytes");
    outgoing.body = request.body;
    outgoing.content_type = request.has_header("Content-Type") ? request.get_header_value("Content-Type")
                                                               : std::string("application/octet-stream");
    outgoing.request_id = request.has_header("Wigeon-Request-Id") ? read_name(request, "Wigeon-Request-Id")
                                                                  : format_incarnation(generate_incarnation());
    const executor_response result = this->requests.serve(incoming);
    response.status = result.status;
    if (!result.content_encoding.empty())
        response.set_header("Content-Encoding", result.content_encoding);
    response.set_header("Wigeon-Execution", std::string(to_string(execution_status::ran)));
    response.set_content(result.body, result.content_type.empty() ? "application/octet-stream" : result.content_type);
    process_metrics().count("wigeon_requests_answered_total");
}

void caller_api::submit_job(const httplib::Request& request, httplib::Response& response)
{
    Record record;
    JobRequest& job = *record.mutable_submit();
    parse_json(request.body, job);
    this->authorize(request, job.account());
    const std::string header_key = read_key(request);
    if (job.key().empty())
        job.set_key(header_key.empty() ? format_incarnation(generate_incarnation()) : header_key);
    const std::string id = make_job_id(job);
    this->state.read([&](const replicated_state& current) {
        check_job_request(current.configuration(), job);
        if (current.find_job(id) == nullptr)
            current.check_job_quota(job.account());
    });
    const apply_result result = this->state.submit(std::move(record), read_steady_clock() + job_append_timeout);
    if (result.outcome != apply_outcome::applied)
        throw error(result.reason.value_or(error_kind::internal), result.detail);
    process_metrics().count("wigeon_jobs_accepted_total");
    response.status = 202;
    this->state.read([&](const replicated_state& current) {
        const Job* accepted = current.find_job(id);
        if (accepted != nullptr)
            write_job(*accepted, response);
    });
}

void caller_api::show_job(const httplib::Request& request, httplib::Response& response) const
{
    this->authorize(request, request.matches[1].str());
    const std::string id = request.matches[1].str() + "/" + request.matches[2].str();
    // A caller that polls needs the newest state, and this entry may not have read the record of a job that another
    // entry accepted.
    this->state.expedite_reads();
    if (!this->state.read([&](const replicated_state& current) { return current.find_job(id) != nullptr; }))
        this->state.wait_for_read(unknown_job_read_timeout);
    this->state.read([&](const replicated_state& current) {
        const Job* job = current.find_job(id);
        if (job == nullptr)
            throw error(error_kind::unknown_job, "'" + id.substr(0, key_limit_bytes) + "'");
        write_job(*job, response);
    });
}

void caller_api::cancel_jobs(const httplib::Request& request, httplib::Response& response)
{
    Record record;
    CancelJobs& cancel = *record.mutable_cancel();
    parse_json(request.body, cancel);
    if (cancel.jobs().empty() || static_cast<std::size_t>(cancel.jobs_size()) > max_cancelled_jobs)
        throw error(error_kind::malformed_request, "jobs: not 1 to " + std::to_string(max_cancelled_jobs) + " entries");
    for (const std::string& id : cancel.jobs())
        this->authorize(request, id.substr(0, id.find('/')));
    const auto count = static_cast<std::uint64_t>(cancel.jobs_size());
    this->state.submit(std::move(record), read_steady_clock() + job_append_timeout);
    process_metrics().count("wigeon_jobs_cancel_requested_total", count);
    json_object body;
    body.add("cancel_requested", count);
    response.status = 202;
    response.set_content(body.to_string(), "application/json");
}

} // namespace wigeon
