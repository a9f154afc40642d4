#pragma once

// The section [keys] of a process's settings, and the files of keys that it names.
//
//     [keys]
//     fleet = /etc/fescuesill/keys/fleet          ; what our processes prove to each other
//     operator = /etc/fescuesill/keys/operator    ; what fescuesillctl proves to an admin port
//
//     settings.keys = readKeySettings(reader, {settings.peers, settings.admin});     // before reader.finish()
//
// A process without a key may be reached on loopback addresses only, unless the section says `open = yes`.

#include "declare/settings.h"
#include "promise/keyring.h"

#include <memory>

namespace fescuesill
{

struct KeySettings {
    std::shared_ptr<const KeyRing> fleet; // null: links and probes prove nothing
    std::shared_ptr<const KeyRing> operators; // null: the admin port asks nobody
    // Without a key on an address that others reach, because the settings allow it.
    bool arePeersOpen = false;
    bool isAdminOpen = false;
};

struct KeyedAddresses {
    std::string peers;
    std::string admin;
};

// Notes every fault in the reader, one line each.
KeySettings readKeySettings(SettingsReader &reader, const KeyedAddresses &addresses);

// The keys of one file; the error says what is wrong with it.
tl::expected<KeyRing, KeyRingError> readKeyFile(const std::string &path);

} // namespace fescuesill
