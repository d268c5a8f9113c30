// Silence and clocks of workers.

#include "scheduling/worker_contacts.h"

namespace wigeon {

namespace {

// One silent worker alone says nothing of the way to the others.
constexpr std::size_t cut_off_workers = 2;

} // namespace

void worker_contacts::silence::note(bool is_answered, steady_time sent_at)
{
    if (!is_answered && !this->is_silent)
        this->since = sent_at;
    this->is_silent = !is_answered;
}

const worker_contacts::contact* worker_contacts::find(const std::string& worker) const
{
    const auto found = this->contacts.find(worker);
    return found == this->contacts.end() ? nullptr : &found->second;
}

void worker_contacts::note_sent(const std::string& worker, steady_time now)
{
    contact& entry = this->contacts[worker];
    entry.is_under_way = true;
    entry.sent_at = now;
}

void worker_contacts::note_answer(const std::string& worker, const worker_answer& answer, steady_time sent_at,
                                  steady_time now, bool is_relayed)
{
    contact& entry = this->contacts[worker];
    const bool is_answered = answer.call == worker_call::answered;
    entry.any_way.note(is_answered, sent_at);
    if (is_answered) {
        entry.clock_ms = answer.reports.clock_ms();
        entry.clock_read_at = now;
    }
    if (is_relayed)
        return;
    entry.from_here.note(is_answered, sent_at);
    entry.called_at = now;
}

bool worker_contacts::may_send(const std::string& worker, steady_time now) const
{
    const contact* entry = this->find(worker);
    if (entry == nullptr)
        return true;
    if (entry->is_under_way)
        return false;
    return !entry->any_way.is_silent || now - entry->sent_at >= this->silent_interval;
}

steady_time worker_contacts::find_sent_at(const std::string& worker) const
{
    const contact* entry = this->find(worker);
    return entry == nullptr ? steady_time{} : entry->sent_at;
}

bool worker_contacts::is_silent(const std::string& worker) const
{
    const contact* entry = this->find(worker);
    return entry != nullptr && entry->any_way.is_silent;
}

std::optional<std::uint64_t> worker_contacts::find_clock_ms(const std::string& worker, steady_time then) const
{
    const contact* entry = this->find(worker);
    if (entry == nullptr || entry->clock_ms == 0)
        return std::nullopt;
    const milliseconds elapsed = elapsed_ms(entry->clock_read_at, then);
    return entry->clock_ms + static_cast<std::uint64_t>((elapsed - find_drift(elapsed)).count());
}

std::vector<std::string> worker_contacts::list_silent(steady_time now, milliseconds limit) const
{
    std::vector<std::string> silent;
    for (const auto& [worker, entry] : this->contacts) {
        if (entry.any_way.has_lasted(now, limit))
            silent.push_back(worker);
    }
    return silent;
}

bool worker_contacts::is_cut_off(steady_time now, milliseconds recent, milliseconds limit) const
{
    std::size_t asked = 0;
    for (const auto& [worker, entry] : this->contacts) {
        // A worker that left the configuration is no longer asked.
        if (entry.called_at == steady_time{} || now - entry.called_at > recent)
            continue;
        if (!entry.from_here.has_lasted(now, limit))
            return false;
        ++asked;
    }
    return asked >= cut_off_workers;
}

} // namespace wigeon
