# Completions of sapphirespur for bash.
_sapphirespur() {
    local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
    case $prev in
        --settings | plan) COMPREPLY=($(compgen -f -- "$cur")) ;;
        data-centre) COMPREPLY=($(compgen -W "in out" -- "$cur")) ;;
        *) COMPREPLY=($(compgen -W "--settings --json --reason --wait-s --help confirm data-centre export history key-digest plan router status" -- "$cur")) ;;
    esac
}
complete -F _sapphirespur sapphirespur
