#include "Decision/Version/Bundle.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumNameBytes = 64;
    constexpr std::int64_t maximumVersion = 1'000'000'000;
    constexpr int maximumClasses = 16;
    constexpr int maximumTeams = 1'000;
    constexpr int maximumQueueLimit = 10'000;
    constexpr int defaultQueueLimit = 64;
    constexpr int defaultRetryPercent = 10;
    constexpr int defaultWitnessCount = 7;
    constexpr int maximumWitnessCount = 15;
    constexpr int defaultRetentionSeconds = 600;
    constexpr int maximumRetentionSeconds = 86'400;
    constexpr int defaultBatchPercent = 80;
    constexpr std::int64_t maximumQuota = 1'000'000'000;

    RequestClass parseClass(const Json& entry, const std::string& path, std::vector<Error>& errors)
    {
        JsonReader reader(entry, path);
        RequestClass parsed;
        parsed.name = reader.requiredString("name", maximumNameBytes);
        parsed.admitted = reader.optionalBool("admitted", true);
        parsed.priority = static_cast<int>(reader.optionalInteger("priority", 0, 9, 5));
        parsed.guaranteedPercent = static_cast<int>(reader.optionalInteger("guaranteed_percent", 0, 100, 0));
        parsed.queueLimit
            = static_cast<int>(reader.optionalInteger("queue_limit", 0, maximumQueueLimit, defaultQueueLimit));
        reader.rejectUnknownFields();
        if (!parsed.admitted && parsed.guaranteedPercent > 0)
            reader.addError(
                ErrorCode::BundleInvalid, "guaranteed_percent", "must be 0 for a class that is not admitted");
        errors.insert(errors.end(), reader.errors().begin(), reader.errors().end());
        return parsed;
    }

    TeamQuota parseQuota(const Json& entry, const std::string& path, std::vector<Error>& errors)
    {
        JsonReader reader(entry, path);
        TeamQuota parsed;
        parsed.team = reader.requiredString("team", maximumNameBytes);
        parsed.milliProcessors = reader.requiredInteger("milli_processors", 0, maximumQuota);
        parsed.memoryMegabytes = reader.requiredInteger("memory_mb", 0, maximumQuota);
        parsed.accelerators = static_cast<int>(reader.optionalInteger("accelerators", 0, 100'000, 0));
        reader.rejectUnknownFields();
        errors.insert(errors.end(), reader.errors().begin(), reader.errors().end());
        return parsed;
    }

    void checkClasses(JsonReader& reader, const std::vector<RequestClass>& classes)
    {
        int guaranteed = 0;
        std::set<std::string> names;
        for (const RequestClass& entry : classes) {
            guaranteed += entry.guaranteedPercent;
            if (!names.insert(entry.name).second)
                reader.addError(
                    ErrorCode::BundleInvalid, "classes", "the name " + entry.name + " is used by more than one class");
        }
        if (classes.empty())
            reader.addError(ErrorCode::BundleInvalid, "classes", "must contain at least one class");
        if (guaranteed > 100)
            reader.addError(ErrorCode::BundleInvalid, "classes",
                "guarantees " + std::to_string(guaranteed) + "% of the slots in total; the maximum is 100%");
    }

} // namespace

Result<Bundle> Bundle::parse(const Json& content)
{
    JsonReader reader(content, "");
    Bundle bundle;
    bundle.m_version = reader.requiredInteger("version", 1, maximumVersion);
    bundle.m_retryPercent = static_cast<int>(reader.optionalInteger("retry_percent", 0, 100, defaultRetryPercent));
    bundle.m_witnessCount
        = static_cast<int>(reader.optionalInteger("witness_count", 1, maximumWitnessCount, defaultWitnessCount));
    bundle.m_answerRetention
        = seconds(reader.optionalInteger("keep_answers_seconds", 1, maximumRetentionSeconds, defaultRetentionSeconds));
    bundle.m_batchPercent = static_cast<int>(reader.optionalInteger("batch_percent", 0, 100, defaultBatchPercent));

    std::vector<Error> errors;
    const Json classes = reader.optionalArray("classes");
    for (std::size_t n = 0; n < classes.size() && n < maximumClasses; ++n)
        bundle.m_classes.push_back(parseClass(classes[n], "/classes/" + std::to_string(n), errors));
    if (classes.size() > maximumClasses)
        reader.addError(
            ErrorCode::BundleInvalid, "classes", "must not have more entries than " + std::to_string(maximumClasses));
    checkClasses(reader, bundle.m_classes);

    const Json quotas = reader.optionalArray("quotas");
    if (quotas.size() > maximumTeams)
        reader.addError(
            ErrorCode::BundleInvalid, "quotas", "must not have more entries than " + std::to_string(maximumTeams));
    for (std::size_t n = 0; n < quotas.size() && n < maximumTeams; ++n) {
        TeamQuota quota = parseQuota(quotas[n], "/quotas/" + std::to_string(n), errors);
        const std::string team = quota.team;
        if (!bundle.m_quotas.emplace(team, std::move(quota)).second)
            reader.addError(ErrorCode::BundleInvalid, "quotas", "the team " + team + " has more than one quota");
    }
    reader.rejectUnknownFields();
    reader.addErrors(errors);
    if (!reader.errors().empty()) {
        Error joined = joinErrors(reader.errors());
        joined.code = ErrorCode::BundleInvalid;
        return joined;
    }
    return bundle;
}

int Bundle::indexOfClass(const std::string& className) const
{
    for (std::size_t n = 0; n < m_classes.size(); ++n) {
        if (m_classes[n].name == className)
            return static_cast<int>(n);
    }
    return -1;
}

const RequestClass* Bundle::findClass(const std::string& className) const
{
    const int index = indexOfClass(className);
    return index < 0 ? nullptr : &m_classes[static_cast<std::size_t>(index)];
}

const TeamQuota* Bundle::findQuota(const std::string& team) const
{
    std::map<std::string, TeamQuota>::const_iterator it = m_quotas.find(team);
    return it == m_quotas.end() ? nullptr : &it->second;
}

} // namespace Plantainpier
