#include "core/routing/admission.h"

namespace radishvane
{

namespace
{

/// Whether the team's keys are accepted when the configuration was last confirmed @p unconfirmedFor ago.
bool isKeyAccepted(const Team &team, Duration unconfirmedFor)
{
    if (unconfirmedFor <= configConfirmationLifetime) {
        return true;
    }
    switch (team.cutOffKeys) {
    case CutOffKeyPolicy::Serve:
        return true;
    case CutOffKeyPolicy::Refuse:
        return false;
    case CutOffKeyPolicy::ServeForATime:
        return unconfirmedFor <= team.cutOffKeyLifetime;
    }
    return false;
}

} // namespace

Result<Admission, RefusalReason> admit(const Config *config, const RequestHead &head, Duration unconfirmedFor)
{
    if (config == nullptr) {
        return RefusalReason::NoConfiguration;
    }
    const auto service = config->services.find(head.service);
    if (service == config->services.end()) {
        return RefusalReason::UnknownService;
    }
    if (head.key.empty()) {
        if (!service->second.openToAll) {
            return RefusalReason::KeyMissing;
        }
        return Admission{&service->second, TeamId()};
    }
    const auto key = config->keys.find(head.key);
    if (key == config->keys.end()) {
        return RefusalReason::UnknownKey;
    }
    const Team &team = config->teams.at(key->second.team);
    if (!isKeyAccepted(team, unconfirmedFor)) {
        return RefusalReason::KeyNotConfirmed;
    }
    if (team.ceiling == 0) {
        return RefusalReason::TeamCeilingZero;
    }
    return Admission{&service->second, team.id};
}

} // namespace radishvane
